package org.copperspindle.backpressure;

import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;

import org.assertj.core.data.Offset;
import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamLoadsTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final int MAX_LINES = 3;
    private static final Offset<Double> EXACT = Offset.offset(1e-9);

    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final LogRateLimiter log = new LogRateLimiter(0, MAX_LINES);
    private final UpstreamLoads loads = new UpstreamLoads(directory, log);

    UpstreamLoadsTest() {
        announce("e", 1, UpstreamPhase.READY);
    }

    /** Guards against a single figure that determines the pace, and against one that never takes effect. */
    @Test
    void paceIsAveragedWithAHalfLifeOfOneSecond() {
        state(100, 0);
        state(400, SECOND);
        assertThat(pace(SECOND).getAsDouble()).isCloseTo((0.5 * 1 + 4) / 1.5, EXACT);
    }

    @Test
    void oldFigureIsIgnored() {
        state(250, 0);
        assertThat(pace(2 * SECOND)).hasValue(2.5);
        assertThat(pace(2 * SECOND + 1)).isEmpty();
        assertThat(loads.count(2 * SECOND + 1)).isZero();
        state(100, 3 * SECOND);
        assertThat(pace(3 * SECOND).getAsDouble()).isLessThan(1.2);
    }

    /** Guards against a pace that stays because later responses state only counts. */
    @Test
    void countsAloneStateNoPace() {
        state(250, 0);
        loads.onResponse("e", OptionalLong.of(1), stated(OptionalInt.empty()), SECOND);
        assertThat(pace(SECOND)).hasValue(2.5);
        loads.onResponse("e", OptionalLong.of(1), stated(OptionalInt.empty()), 3 * SECOND);
        assertThat(pace(3 * SECOND)).isEmpty();
        assertThat(loads.find("e", 3 * SECOND)).contains(stated(OptionalInt.empty()));
    }

    /** Responses of calls that end at about the same time arrive in any order. */
    @Test
    void responsesOutOfOrderGiveTheSamePace() {
        announce("f", 1, UpstreamPhase.READY);
        for (int percent : new int[] {100, 150, 250}) {
            loads.onResponse("e", OptionalLong.of(1), stated(OptionalInt.of(percent)), MILLI);
            loads.onResponse("f", OptionalLong.of(1), stated(OptionalInt.of(350 - percent)), MILLI);
        }
        loads.onResponse("f", OptionalLong.of(1), stated(OptionalInt.of(100)), MILLI - 1);
        loads.onResponse("e", OptionalLong.of(1), stated(OptionalInt.of(100)), MILLI - 1);
        double average = (1 + 1.5 + 2.5 + 1) / 4;
        assertThat(pace(SECOND).getAsDouble()).isCloseTo(average, EXACT);
        assertThat(loads.pace("f", 1, SECOND).getAsDouble()).isCloseTo((2.5 + 2 + 1 + 1) / 4, EXACT);
    }

    /**
     * Guards against an upstream that has just restarted at the same address and is given the pace of the process
     * before it.
     */
    @ParameterizedTest
    @EnumSource(names = {"READY", "GONE"})
    void nextIncarnationHasNoPace(UpstreamPhase phase) {
        OptionalLong called = loads.incarnation("e");
        state(250, 0);
        announce("e", phase == UpstreamPhase.READY ? 2 : 1, phase);
        assertThat(pace(1)).isEmpty();
        loads.onResponse("e", called, stated(OptionalInt.of(250)), 1);
        assertThat(loads.pace("e", 2, 1)).isEmpty();
        assertThat(loads.count(1)).isZero();
    }

    /** A flood of malformed values changes no pace, holds no memory and writes few lines. */
    @Test
    void malformedValuesAreIgnored() {
        state(250, 0);
        for (int i = 0; i < 10_000; i++) {
            loads.onResponse("e", OptionalLong.of(1), UpstreamLoadSignal.of(List.of("x" + i)), MILLI);
            loads.onResponse("unknown" + i, OptionalLong.empty(), stated(OptionalInt.of(250)), MILLI);
        }
        assertThat(loads.unreadable()).isEqualTo(10_000);
        assertThat(log.allowsFailed(MILLI)).isFalse();
        assertThat(pace(MILLI)).hasValue(2.5);
        assertThat(loads.count(MILLI)).isEqualTo(1);
    }

    /** Guards against one false figure that keeps an upstream without work for seconds. */
    @Test
    void extremeFigureIsBounded() {
        state(1_000_000, 0);
        assertThat(pace(0)).hasValue(20);
        state(0, 0);
        assertThat(pace(0).getAsDouble()).isCloseTo((20 + 0.2) / 2, EXACT);
    }

    @Test
    void slowestOfAPoolIsReported() {
        assertThat(loads.slowest("p", 0)).isEmpty();
        announce("f", 1, UpstreamPhase.READY);
        state(100, 0);
        loads.onResponse("f", OptionalLong.of(1), stated(OptionalInt.of(300)), 0);
        assertThat(loads.slowest("p", 0)).hasValue(3);
    }

    @Test
    void silentUpstreamIsForgotten() {
        state(250, 100 * SECOND);
        directory.removeSilent(100 * SECOND);
        loads.removeStale();
        assertThat(loads.count(100 * SECOND)).isZero();
    }

    private void state(int percent, long now) {
        loads.onResponse("e", OptionalLong.of(1), stated(OptionalInt.of(percent)), now);
    }

    private OptionalDouble pace(long now) {
        return loads.pace("e", 1, now);
    }

    private static UpstreamLoadSignal.Stated stated(OptionalInt percent) {
        return new UpstreamLoadSignal.Stated(1, 0, 6, percent);
    }

    private void announce(String id, long incarnation, UpstreamPhase phase) {
        String address = "10.0.0." + id.length() + ":" + (int) id.charAt(0);
        directory.accept(
                new UpstreamRecord(id, incarnation, "p", address, "a", phase, 1, 1, 0, 0, SoftwareVersion.UNSTATED), 0);
    }
}
