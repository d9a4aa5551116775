package org.copperspindle.backpressure;

import java.time.Duration;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamBackoffsTest {

    private static final long SECOND = 1_000_000_000L;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamBackoffs backoffs = new UpstreamBackoffs(directory, new LogRateLimiter(0, 0));

    UpstreamBackoffsTest() {
        announce(1, UpstreamPhase.READY);
    }

    @Test
    void backoffExpires() {
        requestBackoff(3, 0);
        assertThat(backoffs.mayTake("e", 0, SECOND)).isFalse();
        assertThat(backoffs.backoffNanos("e", SECOND)).isEqualTo(2 * SECOND);
        assertThat(backoffs.count(SECOND)).isEqualTo(1);
        assertThat(backoffs.mayTake("e", 0, 3 * SECOND)).isTrue();
        assertThat(backoffs.count(3 * SECOND)).isZero();
    }

    /** Guards against responses that arrive out of order: the longer backoff holds whichever is read last. */
    @Test
    void shorterBackoffDoesNotEndALongerOne() {
        requestBackoff(3, 0);
        requestBackoff(1, SECOND);
        assertThat(backoffs.backoffNanos("e", SECOND)).isEqualTo(2 * SECOND);
        requestBackoff(5, SECOND);
        assertThat(backoffs.backoffNanos("e", SECOND)).isEqualTo(5 * SECOND);
    }

    /** Guards against an upstream that gets all deferred requests at the moment its backoff ends. */
    @Test
    void requestsIncreaseGradually() {
        requestBackoff(3, 0);
        long now = 3 * SECOND;
        for (int most = 1; most <= 32; most *= 2) {
            assertThat(backoffs.mayTake("e", most - 1, now)).isTrue();
            assertThat(backoffs.mayTake("e", most, now)).isFalse();
            backoffs.onResponse("e", BackoffSignal.ABSENT, true, now);
        }
        assertThat(backoffs.mayTake("e", 1000, now)).isTrue();
    }

    /** Guards against a backoff that is cut short by the response to a request that was sent before it. */
    @Test
    void responseDuringTheBackoffIsIgnored() {
        requestBackoff(3, 0);
        backoffs.onResponse("e", BackoffSignal.ABSENT, true, SECOND);
        assertThat(backoffs.mayTake("e", 0, SECOND)).isFalse();
        assertThat(backoffs.mayTake("e", 1, 3 * SECOND)).isFalse();
    }

    @Test
    void refusalAfterTheBackoffIsNoRecovery() {
        requestBackoff(3, 0);
        backoffs.onResponse("e", BackoffSignal.ABSENT, false, 3 * SECOND);
        assertThat(backoffs.mayTake("e", 1, 3 * SECOND)).isFalse();
    }

    @ParameterizedTest
    @EnumSource(names = {"READY", "GONE"})
    void nextIncarnationHasNoBackoff(UpstreamPhase phase) {
        requestBackoff(3, 0);
        announce(phase == UpstreamPhase.READY ? 2 : 1, phase);
        assertThat(backoffs.backoffNanos("e", 0)).isZero();
    }

    /** Guards against state that grows with each upstream that crashes during a backoff. */
    @Test
    void silentUpstreamIsForgotten() {
        requestBackoff(3, 0);
        backoffs.removeStale();
        assertThat(backoffs.isAnyKnown()).isTrue();
        directory.removeSilent(100 * SECOND);
        backoffs.removeStale();
        assertThat(backoffs.isAnyKnown()).isFalse();
    }

    private void requestBackoff(int seconds, long now) {
        backoffs.onResponse("e", new BackoffSignal.Asked(Duration.ofSeconds(seconds)), false, now);
    }

    private void announce(long incarnation, UpstreamPhase phase) {
        directory.accept(
                new UpstreamRecord(
                        "e", incarnation, "p", "10.0.0.1:1", "a", phase, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                0);
    }
}
