package org.copperspindle.version;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableReader;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.SuspensionWatch;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class VersionHolderTest {

    private static final long MILLI = 1_000_000L;
    private static final RouteTableReader READER = text -> new RouteTableResult.Valid(TestRoutes.table(
            Long.parseLong(new String(text, StandardCharsets.UTF_8)),
            List.of(TestRoutes.route("r", "h", "/", RouteKind.SAFE, "p")),
            List.of(TestRoutes.pool("p"))));

    private final VirtualTimerService time = new VirtualTimerService();
    private final AtomicLong suspended = new AtomicLong();
    private final SuspensionWatch watch =
            new SuspensionWatch(time::nanoTime, () -> (time.nanoTime() + suspended.get()) / MILLI);
    private final List<VersionLeaseRequestMessage> questions = new ArrayList<>();
    private final VersionHolder holder =
            new VersionHolder(time, READER, Duration.ofMillis(3800), watch, questions::add);

    /** A restarted node holds a version that it has been told, and does not know yet whether that is the newest. */
    @Test
    void servesNothingBeforeTheLeaderSaysThatItsVersionIsTheNewest() {
        holder.receive(edition(5));
        assertThat(holder.inForce()).isEmpty();
        holder.requestLease();
        answer(5);
        assertThat(holder.inForce()).map(RouteTable::version).hasValue(5L);
    }

    /** The answer overtakes the text: a node must not go on with the older one under the newer one's lease. */
    @Test
    void waitsForTheTextOfTheNewestVersion() {
        holder.receive(edition(5));
        holder.requestLease();
        answer(6);
        assertThat(holder.inForce()).isEmpty();
        holder.receive(edition(6));
        assertThat(holder.inForce()).map(RouteTable::version).hasValue(6L);
    }

    /**
     * A key is taken away while this node is cut off. The lease is counted from the question, so that an answer that was
     * under way for long extends it by less.
     */
    @Test
    void leaseEndsCountedFromTheQuestion() {
        holder.receive(edition(5));
        holder.requestLease();
        time.advance(1000 * MILLI);
        answer(5);
        time.advance(2700 * MILLI);
        assertThat(holder.inForce()).isPresent();
        time.advance(101 * MILLI);
        assertThat(holder.inForce()).isEmpty();
    }

    /** Monotonic time stands still while a VM is suspended; by it the lease would run on for seconds after the wake. */
    @Test
    void leaseEndsWithASuspension() {
        holder.receive(edition(5));
        holder.requestLease();
        answer(5);
        assertThat(holder.inForce()).isPresent();
        suspended.addAndGet(6000 * MILLI);
        assertThat(holder.inForce()).isEmpty();
        answer(5);
        assertThat(holder.inForce()).as("an answer to a question from before").isEmpty();
        holder.requestLease();
        answer(5);
        assertThat(holder.inForce()).isPresent();
    }

    @Test
    void neverGoesBack() {
        holder.receive(edition(6));
        holder.receive(edition(5));
        holder.requestLease();
        answer(5);
        assertThat(holder.version()).isEqualTo(6);
        assertThat(holder.inForce()).map(RouteTable::version).hasValue(6L);
    }

    /**
     * A node starts, wakes or was cut off while a failure domain was evacuated. It has the newest table, and without the list its
     * callers' requests would go to upstreams that must get nothing.
     */
    @Test
    void servesNothingBeforeItKnowsTheEvacuations() {
        holder.receive(edition(5));
        holder.requestLease();
        answer(5, 9);
        assertThat(holder.inForce()).isEmpty();
        holder.receive(new EvacuationsMessage(9, List.of("d")));
        assertThat(holder.inForce()).map(RouteTable::version).hasValue(5L);
        assertThat(holder.evacuations().failureDomains()).containsExactly("d");
    }

    /** The list comes before a table was accepted at all, as after a first start; then the table is what is waited for. */
    @Test
    void waitsForTheTableThatFollowsTheEvacuations() {
        holder.receive(new EvacuationsMessage(9, List.of("d")));
        holder.requestLease();
        answer(1, 9);
        assertThat(holder.inForce()).isEmpty();
        holder.receive(edition(1));
        assertThat(holder.inForce()).isPresent();
    }

    /** A list that was held up on its way comes after its successor: the failure domain would be used again. */
    @ParameterizedTest
    @CsvSource({"8, d", "9, d", "10, "})
    void evacuationsNeverGoBack(long revision, String expected) {
        List<EvacuationsMessage> told = new ArrayList<>();
        holder.subscribeEvacuations(told::add);
        holder.receive(new EvacuationsMessage(9, List.of("d")));
        holder.receive(new EvacuationsMessage(revision, List.of()));
        assertThat(holder.evacuations().failureDomains()).isEqualTo(expected == null ? List.of() : List.of(expected));
        assertThat(told).hasSize(revision > 9 ? 2 : 1);
    }

    @Test
    void asksAgainAndAgain() {
        holder.start();
        time.advance(2001 * MILLI);
        assertThat(questions).hasSize(6);
    }

    private static VersionMessage edition(long version) {
        return new VersionMessage(version, Long.toString(version).getBytes(StandardCharsets.UTF_8));
    }

    private void answer(long version) {
        answer(version, 0);
    }

    private void answer(long version, long revision) {
        long last = questions.get(questions.size() - 1).sequence();
        holder.receive(new VersionLeaseResponseMessage(last, version, revision));
    }
}
