package org.copperspindle.batch;

import java.util.Optional;
import java.util.stream.IntStream;

import org.assertj.core.data.Percentage;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class PoolUpstreamsTest {

    private static final long MILLI = 1_000_000L;
    private static final BatchLimits LIMITS = TestRoutes.batch(40);
    private static final long CALL_NANOS = 300 * MILLI;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final PoolUpstreams upstreams = new PoolUpstreams("p", directory);

    /**
     * The inputs of several calls were gone, so that their upstream answered within 50 ms. Compared with it, three
     * upstreams that took as long as stated looked slow ("stage-upstream-slow slowness=1.0") and got no calls while
     * it was busy.
     */
    @Test
    void instantResponsesMakeNoOtherUpstreamSlow() {
        announce("quick", "usual", "other");
        for (int call = 0; call < 5; call++) {
            answer("quick", 50);
            answer("usual", 300);
            answer("other", 330);
        }
        find("quick").onSent(CALL_NANOS);
        assertThat(upstreams.skippedAsSlow(0)).isEmpty();
    }

    /**
     * An upstream that takes twice its stated time or more is skipped while a faster one is busy, and used if none
     * is.
     */
    @ParameterizedTest
    @CsvSource({"550, true, 0", "650, true, 1", "650, false, 0"})
    void slowUpstreamIsSkippedWhileAnotherIsBusy(long tookMillis, boolean busy, int skipped) {
        announce("usual", "slow");
        for (int call = 0; call < 20; call++) {
            answer("usual", 300);
            answer("slow", tookMillis);
        }
        if (busy) {
            find("usual").onSent(CALL_NANOS);
        }
        assertThat(upstreams.skippedAsSlow(0)).hasSize(skipped);
        assertThat(upstreams.callable(LIMITS, 0)).hasSize(busy ? 1 : 2);
    }

    /** The load of a pool counts only the upstreams that get calls. */
    @Test
    void loadExcludesSlowUpstreams() {
        announce("usual", "slow");
        double alone = upstreams.load(Optional.of(LIMITS), 0, 0).piecesPerSecond() / 2;
        for (int call = 0; call < 20; call++) {
            answer("usual", 300);
            answer("slow", 1500);
        }
        assertThat(upstreams.load(Optional.of(LIMITS), 0, 0).piecesPerSecond()).isEqualTo(alone);
    }

    /** Upstreams that get no calls, or few, must not raise the number that may be used for interrupted streams. */
    @Test
    void usableUpstreamsAreNeitherSlowNorPausedNorBackingOffNorCold() {
        announce("usual", "slow", "paused", "backing-off");
        directory.accept(
                new UpstreamRecord(
                        "cold",
                        0,
                        "p",
                        "10.0.0.9:1",
                        "d",
                        UpstreamPhase.READY,
                        1,
                        1,
                        0,
                        5_000,
                        SoftwareVersion.UNSTATED),
                0);
        upstreams.refresh();
        for (int call = 0; call < 20; call++) {
            answer("usual", 300);
            answer("slow", 1500);
        }
        find("paused").pause(0, MILLI);
        upstreams.limitCallsWith(new BackingOff("backing-off"));
        assertThat(upstreams.usableCount(0)).isEqualTo(1);
        assertThat(upstreams.usableCount(MILLI)).isEqualTo(2);
    }

    /**
     * With calls of forty pieces, one waiting full call is half of what two upstreams take next, but little for
     * thirty: there the groups wait for upstreams of their failure domain, and the pool keeps up.
     */
    @ParameterizedTest
    @CsvSource({"2, 39, false", "2, 40, true", "30, 40, false", "30, 599, false", "30, 600, true"})
    void poolIsBehindByTheBacklogPerUpstream(int count, int waiting, boolean behind) {
        announce(IntStream.range(0, count).mapToObj(i -> "u" + i).toArray(String[]::new));
        assertThat(upstreams.isBehind(LIMITS, waiting, 0)).isEqualTo(behind);
    }

    /** Guards against a slowdown that shows only once calls come back late, while the upstream states it before. */
    @Test
    void statedPaceDeterminesOrderAndLoad() {
        announce("slowed", "usual");
        double before = upstreams.load(Optional.of(LIMITS), 0, 0).piecesPerSecond();
        upstreams.scaleDurationsBy((upstream, now) -> upstream.id().equals("slowed") ? 2.5 : UpstreamPace.USUAL);
        assertThat(upstreams.callable(LIMITS, 0)).containsExactly(find("usual"), find("slowed"));
        assertThat(upstreams.load(Optional.of(LIMITS), 0, 0).piecesPerSecond())
                .isCloseTo(before * (1 + 1 / 2.5) / 2, Percentage.withPercentage(0.1));
        find("usual").onSent(CALL_NANOS);
        assertThat(upstreams.skippedAsSlow(0)).isEmpty();
    }

    /** Without a stated pace the pool is seen exactly as by measured durations alone. */
    @Test
    void withoutStatedPaceOnlyMeasuredDurationsCount() {
        announce("slow", "usual");
        for (int call = 0; call < 3; call++) {
            answer("slow", 450);
            answer("usual", 300);
        }
        upstreams.scaleDurationsBy((upstream, now) -> UpstreamPace.USUAL);
        upstreams.all().forEach(u -> assertThat(upstreams.slowness(u, 0)).isEqualTo(u.slowness()));
        assertThat(upstreams.callable(LIMITS, 0)).containsExactly(find("usual"), find("slow"));
    }

    /**
     * Guards against an upstream that states a pace below the usual one, such as 0, while it works as usual: judged by
     * that figure it would count as slow and be skipped for good.
     */
    @Test
    void paceBelowTheUsualOneIsNotUsed() {
        announce("u");
        upstreams.scaleDurationsBy((upstream, now) -> 0.2);
        assertThat(upstreams.pace(find("u"), 0)).isEqualTo(UpstreamPace.USUAL);
    }

    /**
     * Guards against timeouts that are shorter than without stated paces: a slow upstream whose figure has become too
     * old would lose its calls.
     */
    @Test
    void timeoutDoesNotShrinkOnceThePaceIsTooOld() {
        announce("u");
        StageUpstream upstream = find("u");
        for (int call = 0; call < 20; call++) {
            upstream.onSent(0);
            upstream.onAnswered(CALL_NANOS, new SentCall(CALL_NANOS, 5, 0, false).expectedNanos(5), 5 * CALL_NANOS);
        }
        assertThat(upstream.slowness()).isEqualTo(1);
        assertThat(upstream.timeoutNanos(CALL_NANOS, UpstreamPace.USUAL)).isGreaterThan(12 * CALL_NANOS);
    }

    /** Guards against a lost call that occupies its pieces for tens of seconds because of an excessive pace. */
    @Test
    void statedPaceLengthensTimeoutsToABound() {
        announce("u");
        StageUpstream upstream = find("u");
        assertThat(upstream.timeoutNanos(CALL_NANOS, 2)).isEqualTo(5 * CALL_NANOS);
        assertThat(upstream.timeoutNanos(CALL_NANOS, 20)).isEqualTo(10 * CALL_NANOS);
    }

    private void announce(String... ids) {
        for (String id : ids) {
            String address = "10.0.0." + (directory.ready("p").size() + 1) + ":1";
            directory.accept(
                    new UpstreamRecord(
                            id, 0, "p", address, "d", UpstreamPhase.READY, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                    0);
        }
        upstreams.refresh();
    }

    private void answer(String id, long tookMillis) {
        StageUpstream upstream = find(id);
        upstream.onSent(CALL_NANOS);
        upstream.onAnswered(CALL_NANOS, CALL_NANOS, tookMillis * MILLI);
    }

    private StageUpstream find(String id) {
        return upstreams.all().stream()
                .filter(u -> u.announced().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    /** Admits all calls but those to one upstream, which has requested a backoff. */
    private record BackingOff(String id) implements CallAdmission {
        @Override
        public boolean mayCall(String upstream) {
            return !isBackingOff(upstream);
        }

        @Override
        public void recordCall(String upstream) {
            // Calls are not counted.
        }

        @Override
        public boolean isBackingOff(String upstream) {
            return upstream.equals(id);
        }

        @Override
        public long spacingNanos(String upstream) {
            return 0;
        }
    }
}
