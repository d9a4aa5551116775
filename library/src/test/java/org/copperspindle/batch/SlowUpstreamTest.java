package org.copperspindle.batch;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.assertj.core.data.Percentage;
import org.copperspindle.batch.FakeStagePort.Behavior;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.VirtualTimerService;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three upstreams under a load that needs all of them. One is five times slower for four seconds.
 */
class SlowUpstreamTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);

    private static final String SLOW = "slow";

    /** Groups of eight pieces arrive as often as two and a third upstreams can complete them in full calls. */
    private static final long GROUP_GAP_MILLIS = 32;

    private final VirtualTimerService time = new VirtualTimerService();
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final FakeStagePort port = new FakeStagePort(time, LIMITS);
    private final PoolDispatcher dispatcher = new PoolDispatcher(
            "p",
            directory,
            time,
            port,
            () -> Optional.of(LIMITS),
            new RecordingSink(message -> {}),
            new LogRateLimiter(0, 0));
    private long lastId;

    @BeforeEach
    void start() {
        List.of(SLOW, "b", "c").forEach(this::upstream);
    }

    /**
     * Guards against upstreams that stay unused after a slow phase. Three of eleven upstreams of a pool were slow for
     * four seconds. From then on a faster one was always busy, so they got no call that could have shown their
     * recovery, for 14 s in one run and for 23 s in another, until every node was restarted; callers were refused
     * because stages were full. The pool's "stage-call" lines fell from 48 to 34 in two seconds while "waiting" rose
     * from 30 to 450.
     */
    @Test
    void upstreamThatWasSlowIsUsedAgainUnderLoad() {
        addGroupsFor(3000);
        port.behaviors.put(SLOW, Behavior.SLOW);
        addGroupsFor(4000);
        port.behaviors.put(SLOW, Behavior.SOUND);
        addGroupsFor(4000);
        long from = time.nanoTime();
        addGroupsFor(5000);
        assertThat(callsFrom(from, SLOW)).isGreaterThanOrEqualTo(callsFrom(from, "b") - 2);
    }

    /**
     * Guards against a pause of the dispatcher that is mistaken for slow upstreams. A dispatcher was frozen for eight
     * seconds with calls in progress at eight of eleven upstreams. Their calls seemed to have taken that long, and
     * the three others got all calls from then on: 12 to 16 "stage-call" lines in two seconds, where 48 were usual.
     * For the rest of the day, description requests earned only 0.195 of their value.
     */
    @Test
    void upstreamsAreUsedAgainAfterAPauseOfTheDispatcher() {
        port.pausedUntil = 8000 * MILLI;
        dispatcher.add("origin", group());
        dispatcher.add("origin", group());
        dispatcher.add("origin", group());
        time.advance(8000 * MILLI);
        upstream("d");
        addGroupsFor(150);
        upstream("e");
        addGroupsFor(2000);
        long from = time.nanoTime();
        addGroupsFor(5000);
        List.of(SLOW, "b", "c")
                .forEach(each ->
                        assertThat(callsFrom(from, each)).as(each).isGreaterThanOrEqualTo(callsFrom(from, "d") - 2));
    }

    /**
     * The same with a pause detector: the durations of the calls are ignored, and the load is unchanged right after
     * the pause. Otherwise the node reported waits of twelve seconds, and all nodes refused callers for five seconds.
     */
    @Test
    void pauseOfTheDispatcherDoesNotChangeTheLoad() {
        PauseDetector detector = new PauseDetector();
        dispatcher.withPauseDetector(detector);
        detector.check(time.nanoTime());
        port.pausedUntil = 8000 * MILLI;
        IntStream.range(0, 3).forEach(i -> dispatcher.add("origin", group()));
        double before = dispatcher.load().piecesPerSecond();
        time.advance(8010 * MILLI);
        assertThat(dispatcher.load().piecesPerSecond()).isEqualTo(before);
        assertThat(dispatcher.load().waitNanos()).isZero();
    }

    /** An upstream that stays slow gets only a small call now and then, since the results of such calls come late. */
    @Test
    void upstreamThatStaysSlowGetsFewPieces() {
        port.behaviors.put(SLOW, Behavior.SLOW);
        addGroupsFor(4000);
        long from = time.nanoTime();
        addGroupsFor(12_000);
        assertThat(piecesFrom(from, SLOW)).isBetween(1, 4 * 8);
    }

    /**
     * Guards against a load that counts slow upstreams. Requests are admitted by the wait of their pools; an upstream
     * that gets no calls, counted as free or as part of the throughput, made the wait look shorter than it was, and
     * the admitted requests were late.
     */
    @Test
    void slowUpstreamDoesNotCountAsFree() {
        port.behaviors.put(SLOW, Behavior.SLOW);
        addGroupsFor(6000);
        PoolLoad load = dispatcher.load();
        double twoUpstreams = 2 * LIMITS.maxPieces() / (LIMITS.fullCallNanos() / 1e9);
        assertThat(load.piecesPerSecond()).isCloseTo(twoUpstreams, Percentage.withPercentage(10));
        assertThat(load.waitNanos()).isGreaterThanOrEqualTo((long) (dispatcher.waitingPieces() / twoUpstreams * 1e9));
    }

    private void addGroupsFor(long millis) {
        for (long end = time.nanoTime() + millis * MILLI; time.nanoTime() < end; ) {
            dispatcher.add("origin", group());
            time.advance(GROUP_GAP_MILLIS * MILLI);
        }
    }

    private long callsFrom(long from, String upstream) {
        return port.calls.stream()
                .filter(call -> call.sentAt() >= from && call.upstream().equals(upstream))
                .count();
    }

    private int piecesFrom(long from, String upstream) {
        return port.calls.stream()
                .filter(call -> call.sentAt() >= from && call.upstream().equals(upstream))
                .mapToInt(call -> call.items().size())
                .sum();
    }

    private void upstream(String id) {
        String address = "10.0.0." + (directory.ready("p").size() + 1) + ":1";
        directory.accept(
                new UpstreamRecord(id, 0, "p", address, "d", UpstreamPhase.READY, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                0);
    }

    private PieceGroup group() {
        return TestGroups.ofEight(++lastId);
    }
}
