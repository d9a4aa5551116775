package org.copperspindle.entry;

import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.claims.ClaimLimits;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Random schedules over several entries, agents and one claims log. Requests arrive, keys are resent at once and later
 * through any entry, callers disconnect, and the network, the upstreams, the processes and the leader fail with the
 * given probabilities. The responses to callers must always agree with independently recorded executions. The seeds are
 * fixed, so a failing schedule fails again.
 */
class RequestScheduleTest {

    private static final Logger LOGGER = LogManager.getLogger(RequestScheduleTest.class);
    private static final int SCHEDULES = Integer.getInteger("copperspindle.schedules", 400);
    private static final int ARRIVALS = 24;
    private static final int KEYS = 6;
    private static final long RECOVERY_NANOS = Duration.ofSeconds(40).toNanos();
    private static final ClaimLimits SHORT_RETENTION =
            new ClaimLimits(Duration.ofSeconds(1), Duration.ofHours(1), 1024, 32768);

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("none", SimulatedFaults.NONE, ClaimLimits.DEFAULT),
                Arguments.of("network", SimulatedFaults.NETWORK, ClaimLimits.DEFAULT),
                Arguments.of("crashes", SimulatedFaults.CRASHES, ClaimLimits.DEFAULT),
                Arguments.of("control", SimulatedFaults.CONTROL, ClaimLimits.DEFAULT),
                Arguments.of("upstreams", SimulatedFaults.UPSTREAMS, ClaimLimits.DEFAULT),
                Arguments.of("all", SimulatedFaults.ALL, ClaimLimits.DEFAULT),
                Arguments.of("all, claims ending under way", SimulatedFaults.ALL, SHORT_RETENTION));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("faults")
    void responsesAgreeWithExecutions(String name, SimulatedFaults faults, ClaimLimits limits) {
        Map<String, Integer> checked = new TreeMap<>();
        Map<String, Integer> injected = new TreeMap<>();
        for (int seed = 0; seed < SCHEDULES; seed++) {
            SimulatedDeployment deployment = new SimulatedDeployment(seed, 3, limits);
            try {
                run(deployment, faults, new SplittableRandom(seed));
                GuaranteeCheck check = new GuaranteeCheck(deployment);
                check.checkAll();
                check.checked().forEach((guarantee, n) -> checked.merge(guarantee, n, Integer::sum));
                deployment.counts().forEach((fault, n) -> injected.merge(fault, n, Integer::sum));
                injected.merge("executions", deployment.executions().total(), Integer::sum);
            } catch (AssertionError | RuntimeException e) {
                throw new AssertionError("faults " + name + ", seed " + seed + ": " + e.getMessage(), e);
            }
        }
        LOGGER.info("event=schedules faults={} schedules={} brought={} checked={}", name, SCHEDULES, injected, checked);
        assertThat(checked).containsKeys("whole answer is its own", "key ran at most once");
    }

    private static void run(SimulatedDeployment deployment, SimulatedFaults faults, SplittableRandom random) {
        deployment.faults(faults);
        for (int i = 0; i < ARRIVALS; i++) {
            SimulatedCaller caller = arrive(deployment, random);
            if (SimulatedFaults.occurs(random, faults.callerLeaves())) {
                SimulatedEntry entry = deployment.entries().get(random.nextInt(3));
                deployment.timers().schedule(random.nextLong(20_000_000), () -> entry.callerLeaves(caller));
            }
            deployment.timers().advance(random.nextLong(random.nextInt(8) == 0 ? 2_000_000_000L : 12_000_000L));
        }
        deployment.faults(SimulatedFaults.NONE);
        deployment.timers().advance(RECOVERY_NANOS);
        for (int key = 0; key < KEYS; key++) {
            // Without faults, every key gets a definite response.
            deployment.call(random.nextInt(3), "install", "k" + key, token(key, 0));
        }
        deployment.timers().advance(RECOVERY_NANOS);
    }

    private static SimulatedCaller arrive(SimulatedDeployment deployment, SplittableRandom random) {
        int entry = random.nextInt(3);
        int key = random.nextInt(KEYS);
        return switch (random.nextInt(5)) {
            case 0 -> deployment.call(entry, "describe", "d", "d" + random.nextInt(1000));
            case 1 -> deployment.call(entry, "lookup", "l", "l" + random.nextInt(1000));
            case 2 ->
                deployment.call(entry, "install", "", "m" + deployment.callers().size());
            default -> deployment.call(entry, "install", "k" + key, token(key, random.nextInt(8) == 0 ? 1 : 0));
        };
    }

    private static String token(int key, int body) {
        return "i" + key + "b" + body;
    }
}
