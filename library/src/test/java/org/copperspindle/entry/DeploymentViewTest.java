package org.copperspindle.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.config.Deployment;
import org.copperspindle.membership.ControlUpdateMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class DeploymentViewTest {

    private final Map<Long, Consumer<Optional<Deployment>>> reading = new LinkedHashMap<>();
    private final List<Long> told = new ArrayList<>();
    private final DeploymentView view =
            new DeploymentView((version, text, whenRead) -> reading.put(version, whenRead), this::tell);

    /**
     * The text of version 2 is still being read when 3 arrives. Until a text is read, the version before it is reported
     * and served; were 2 reported at once, the operator would hear "in force" from a member that serves version 1.
     */
    @Test
    void versionIsReportedOnceItIsInForce() {
        update(1);
        assertThat(view.version()).isZero();
        read(1);
        update(2);
        update(3);
        assertThat(view.version()).isEqualTo(1);

        read(2);
        assertThat(view.version()).isEqualTo(2);
        read(3);
        assertThat(told).containsExactly(1L, 2L, 3L);
    }

    /** The reader reports late or in the wrong order: what is in force must never go back, whatever the reader does. */
    @ParameterizedTest
    @CsvSource({"3, 2", "3, 3"})
    void lowerVersionIsNeverPutInForce(long first, long later) {
        update(2);
        update(3);
        read(first);
        Deployment before = view.deployment();

        read(later);

        assertThat(view.version()).isEqualTo(first);
        assertThat(view.deployment()).isSameAs(before);
        assertThat(told).containsExactly(first);
    }

    /** An update that repeats or precedes what is being read costs no second reading. */
    @Test
    void lowerVersionIsNotRead() {
        update(3);
        reading.remove(3L);
        update(3);
        update(2);

        assertThat(reading).isEmpty();
    }

    /** A version that this build can't read leaves the one before in force and unreported, so that the lease runs out. */
    @Test
    void unreadableVersionIsNotPutInForce() {
        update(1);
        read(1);
        update(2);
        reading.get(2L).accept(Optional.empty());

        assertThat(view.version()).isEqualTo(1);
        assertThat(told).containsExactly(1L);
    }

    private void update(long version) {
        view.update(new ControlUpdateMessage(1, version, "text", false, 0, List.of(), List.of()));
    }

    private void read(long version) {
        Deployment empty = Deployment.EMPTY;
        reading.get(version)
                .accept(Optional.of(new Deployment(
                        "v" + version,
                        empty.failureDomains(),
                        0.5,
                        empty.accounts(),
                        empty.pools(),
                        empty.pipelines())));
    }

    private void tell() {
        told.add(view.version());
    }
}
