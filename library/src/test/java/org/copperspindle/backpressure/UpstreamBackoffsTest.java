package org.copperspindle.backpressure;

import java.time.Duration;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamBackoffsTest {

    private static final long SECOND = 1_000_000_000L;

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamBackoffs rests = new UpstreamBackoffs(directory, new DecisionLog(0, 0));

    UpstreamBackoffsTest() {
        announce(1, UpstreamPhase.READY);
    }

    @Test
    void restEndsByItself() {
        ask(3, 0);
        assertThat(rests.mayTake("e", 0, SECOND)).isFalse();
        assertThat(rests.backoffNanos("e", SECOND)).isEqualTo(2 * SECOND);
        assertThat(rests.count(SECOND)).isEqualTo(1);
        assertThat(rests.mayTake("e", 0, 3 * SECOND)).isTrue();
        assertThat(rests.count(3 * SECOND)).isZero();
    }

    /** Guards against answers that overtake each other: the longer rest holds whichever is read last. */
    @Test
    void shorterRestDoesNotEndALongerOne() {
        ask(3, 0);
        ask(1, SECOND);
        assertThat(rests.backoffNanos("e", SECOND)).isEqualTo(2 * SECOND);
        ask(5, SECOND);
        assertThat(rests.backoffNanos("e", SECOND)).isEqualTo(5 * SECOND);
    }

    /** Guards against an upstream that gets all that was held back in the moment in which its rest ends. */
    @Test
    void requestsComeBackByAndBy() {
        ask(3, 0);
        long now = 3 * SECOND;
        for (int most = 1; most <= 32; most *= 2) {
            assertThat(rests.mayTake("e", most - 1, now)).isTrue();
            assertThat(rests.mayTake("e", most, now)).isFalse();
            rests.onResponse("e", BackoffSignal.ABSENT, true, now);
        }
        assertThat(rests.mayTake("e", 1000, now)).isTrue();
    }

    /** Guards against a rest that is cut short by the answer to a request which the upstream had before it. */
    @Test
    void answerWithinTheRestShowsNothing() {
        ask(3, 0);
        rests.onResponse("e", BackoffSignal.ABSENT, true, SECOND);
        assertThat(rests.mayTake("e", 0, SECOND)).isFalse();
        assertThat(rests.mayTake("e", 1, 3 * SECOND)).isFalse();
    }

    @Test
    void refusalAfterTheRestIsNoSignOfRecovery() {
        ask(3, 0);
        rests.onResponse("e", BackoffSignal.ABSENT, false, 3 * SECOND);
        assertThat(rests.mayTake("e", 1, 3 * SECOND)).isFalse();
    }

    @ParameterizedTest
    @EnumSource(names = {"READY", "GONE"})
    void nextLifeHasNoRest(UpstreamPhase phase) {
        ask(3, 0);
        announce(phase == UpstreamPhase.READY ? 2 : 1, phase);
        assertThat(rests.backoffNanos("e", 0)).isZero();
    }

    /** Guards against state that grows with each upstream that crashes while it rests. */
    @Test
    void silentUpstreamIsForgotten() {
        ask(3, 0);
        rests.removeStale();
        assertThat(rests.isAnyKnown()).isTrue();
        directory.forgetSilent(100 * SECOND);
        rests.removeStale();
        assertThat(rests.isAnyKnown()).isFalse();
    }

    private void ask(int seconds, long now) {
        rests.onResponse("e", new BackoffSignal.Asked(Duration.ofSeconds(seconds)), false, now);
    }

    private void announce(long incarnation, UpstreamPhase phase) {
        directory.accept(new UpstreamRecord("e", incarnation, "p", "10.0.0.1:1", "a", phase, 1, 1, 0, 0), 0);
    }
}
