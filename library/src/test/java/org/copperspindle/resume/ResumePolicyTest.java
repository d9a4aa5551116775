package org.copperspindle.resume;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.WeightedPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class ResumePolicyTest {

    private static final long MILLI = 1_000_000L;

    /** Routes that the policy is not meant for must be resumed as they always were. */
    @ParameterizedTest
    @CsvSource({
        "STREAM, true, 600, true, true, true",
        "STREAM, true, 600, false, false, true",
        "STREAM, true, 600, true, false, false",
        "STREAM, true, 0, true, true, false",
        "STREAM, true, 0, false, false, false",
        "STREAM, false, 600, true, true, false",
        "STREAM, false, 600, false, false, false",
        "SAFE, true, 600, true, true, false",
        "UNSAFE, true, 600, false, false, false"
    })
    void appliesOnlyToStreamsWithAPauseLimitOnCoordinatedPools(
            RouteKind kind, boolean resumable, long gapMillis, boolean staged, boolean coordinated, boolean applies) {
        ResumePolicy policy = new ResumePolicy(route -> coordinated);
        Route route = route(kind, resumable, gapMillis, staged, 1500);
        assertThat(policy.plan(route, 0).isPresent()).isEqualTo(applies);
        assertThat(policy.maxSilenceNanos(route).isPresent()).isEqualTo(applies);
        assertThat(policy.maxFirstEventNanos(route).isPresent()).isEqualTo(applies);
    }

    /** The time must follow from the last event, not from when the loss was noticed, and may wrap as the clock does. */
    @ParameterizedTest
    @CsvSource({
        "0, 0, true",
        "1000, 1400, true",
        "1000, 1600, true",
        "1000, 1601, false",
        "1000, 9000, false",
        "-5000, -4900, true"
    })
    void nextEventIsDueAfterTheLongestPause(long lastEventMillis, long nextEventMillis, boolean inTime) {
        ResumePolicy policy = new ResumePolicy(route -> true);
        Optional<ResumePlan> plan =
                policy.plan(route(RouteKind.STREAM, true, 600, true, 1500), lastEventMillis * MILLI);
        long dueAt = (lastEventMillis + 600) * MILLI;
        assertThat(plan).contains(new ResumePlan(lastEventMillis * MILLI, dueAt));
        assertThat(plan.orElseThrow().isInTime(nextEventMillis * MILLI)).isEqualTo(inTime);
        assertThat(plan.orElseThrow().isInTime(dueAt)).isTrue();
        assertThat(plan.orElseThrow().isInTime(dueAt + 1)).isFalse();
    }

    /**
     * A pause of one and a half times the limit is an engine that reads a long prompt: it must not be given up, and
     * one that has only just got the prompt has longer.
     */
    @ParameterizedTest
    @CsvSource({"600, 1500, 1800, 1800", "600, 4000, 1800, 4000", "200, 1500, 600, 1500"})
    void silentEngineIsGivenUpLateButBeforeTheCallerLeaves(
            long gapMillis, long objectiveMillis, long silenceMillis, long firstEventMillis) {
        ResumePolicy policy = new ResumePolicy(route -> true);
        Route route = route(RouteKind.STREAM, true, gapMillis, true, objectiveMillis);
        assertThat(policy.maxSilenceNanos(route)).isEqualTo(OptionalLong.of(silenceMillis * MILLI));
        assertThat(policy.maxFirstEventNanos(route)).isEqualTo(OptionalLong.of(firstEventMillis * MILLI));
    }

    /** A clock near its overflow must not make a stream late. */
    @Test
    void timesMayOverflow() {
        ResumePolicy policy = new ResumePolicy(route -> true);
        Route route = route(RouteKind.STREAM, true, 600, true, 1500);
        ResumePlan plan = policy.plan(route, Long.MAX_VALUE - 1).orElseThrow();
        assertThat(plan.isInTime(Long.MAX_VALUE)).isTrue();
        assertThat(plan.isInTime(Long.MIN_VALUE)).isTrue();
    }

    private static Route route(
            RouteKind kind, boolean resumable, long gapMillis, boolean staged, long objectiveMillis) {
        return new Route(
                "r",
                "h",
                "/r/",
                kind,
                Duration.ofSeconds(20),
                Duration.ofMillis(objectiveMillis),
                0,
                List.of(new WeightedPool("p", 1)),
                3,
                staged ? List.of(new RouteStage("s", List.of(), 10)) : List.of(),
                false,
                resumable,
                Duration.ofMillis(gapMillis));
    }
}
