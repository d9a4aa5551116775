package org.copperspindle.backpressure;

import java.util.OptionalDouble;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamLimitsTest {

    private static final LimitSignal LIMIT = new LimitSignal.Named(1.5);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final UpstreamLimits limits = new UpstreamLimits(directory, new LogRateLimiter(0, 0));

    UpstreamLimitsTest() {
        announce(1, UpstreamPhase.READY);
    }

    @Test
    void limitIsValidUntilALaterResponseLacksIt() {
        limits.onResponse("e", LIMIT, 0, 100);
        assertThat(limits.find("e")).isEqualTo(OptionalDouble.of(1.5));
        limits.onResponse("e", new LimitSignal.Named(2), 150, 200);
        assertThat(limits.find("e")).isEqualTo(OptionalDouble.of(2));
        limits.onResponse("e", LimitSignal.ABSENT, 250, 300);
        assertThat(limits.find("e")).isEmpty();
    }

    /**
     * Responses without a limit that were written before the limit was set arrive after it: the upstream would be
     * overloaded again.
     */
    @Test
    void responseToAnEarlierCallDoesNotEndALimit() {
        limits.onResponse("e", LIMIT, 0, 100);
        limits.onResponse("e", LimitSignal.ABSENT, 50, 300);
        assertThat(limits.find("e")).isPresent();
    }

    @Test
    void unreadableValueChangesNothing() {
        limits.onResponse("e", new LimitSignal.Unreadable("x"), 0, 50);
        assertThat(limits.find("e")).isEmpty();
        limits.onResponse("e", LIMIT, 0, 100);
        limits.onResponse("e", new LimitSignal.Unreadable("x"), 150, 200);
        assertThat(limits.find("e")).isPresent();
    }

    /**
     * The limit belongs to a process that is gone; if kept, it would restrict the next one for as long as nobody
     * calls it.
     */
    @ParameterizedTest
    @EnumSource(names = {"READY", "GONE"})
    void nextIncarnationHasNoLimit(UpstreamPhase phase) {
        limits.onResponse("e", LIMIT, 0, 100);
        announce(phase == UpstreamPhase.READY ? 2 : 1, phase);
        assertThat(limits.find("e")).isEmpty();
        assertThat(limits.count()).isZero();
    }

    @Test
    void unknownUpstreamHasNoLimit() {
        limits.onResponse("other", LIMIT, 0, 100);
        assertThat(limits.count()).isZero();
    }

    /**
     * Guards against a node that keeps searching for limited upstreams for each deferred request after the last one
     * has recovered.
     */
    @Test
    void endedLimitIsForgotten() {
        limits.onResponse("e", LIMIT, 0, 100);
        limits.onResponse("e", LimitSignal.ABSENT, 150, 200);
        limits.removeStale(1000);
        assertThat(limits.isAnyKnown()).isTrue();
        limits.removeStale(20_000_000_000L);
        assertThat(limits.isAnyKnown()).isFalse();
    }

    @Test
    void limitOfASilentUpstreamIsForgotten() {
        limits.onResponse("e", LIMIT, 0, 100);
        directory.removeSilent(100_000_000_000L);
        limits.removeStale(100_000_000_000L);
        assertThat(limits.isAnyKnown()).isFalse();
    }

    private void announce(long incarnation, UpstreamPhase phase) {
        directory.accept(
                new UpstreamRecord(
                        "e", incarnation, "p", "10.0.0.1:1", "a", phase, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                0);
    }
}
