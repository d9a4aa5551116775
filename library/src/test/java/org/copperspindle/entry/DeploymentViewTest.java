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

    private final Map<Long, Consumer<Optional<Deployment>>> pending = new LinkedHashMap<>();
    private final List<Long> reported = new ArrayList<>();
    private final DeploymentView view =
            new DeploymentView((version, text, whenRead) -> pending.put(version, whenRead), this::report);

    /**
     * The text of version 2 is still being parsed when version 3 arrives. Until a text is parsed, the previous version
     * is reported and served; if 2 were reported at once, operators would see it in force at a member that serves 1.
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
        assertThat(reported).containsExactly(1L, 2L, 3L);
    }

    /** The reader delivers late or out of order: the version in force must never go back. */
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
        assertThat(reported).containsExactly(first);
    }

    /** An update with the version being parsed or a lower one is not parsed. */
    @Test
    void lowerVersionIsNotRead() {
        update(3);
        pending.remove(3L);
        update(3);
        update(2);

        assertThat(pending).isEmpty();
    }

    /**
     * A version that this build can't parse leaves the previous one in force and is not reported, so that the lease
     * runs out.
     */
    @Test
    void unreadableVersionIsNotPutInForce() {
        update(1);
        read(1);
        update(2);
        pending.get(2L).accept(Optional.empty());

        assertThat(view.version()).isEqualTo(1);
        assertThat(reported).containsExactly(1L);
    }

    private void update(long version) {
        view.update(new ControlUpdateMessage(1, version, "text", false, 0, List.of(), List.of()));
    }

    private void read(long version) {
        Deployment empty = Deployment.EMPTY;
        pending.get(version)
                .accept(Optional.of(new Deployment(
                        "v" + version,
                        empty.failureDomains(),
                        0.5,
                        empty.accounts(),
                        empty.pools(),
                        empty.pipelines())));
    }

    private void report() {
        reported.add(view.version());
    }
}
