package org.copperspindle.replay;

import java.nio.file.Files;
import java.nio.file.Path;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.config.Priority;
import org.copperspindle.limits.PolicyKind;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class FaultReplayTest {

    private static final String LOADS = """
            {"kind":"trace","version":1,"name":"t","seed":5,"entries":2}
            {"kind":"load","from_s":0,"to_s":20,"per_s":10,"account":"class","pipeline":"check",\
            "work_ms":{"generate":200}}
            {"kind":"load","from_s":0,"to_s":20,"per_s":6,"account":"desk","pipeline":"review",\
            "work_ms":{"generate":1000}}
            """;

    @TempDir
    Path folder;

    private Deployment deployment;

    @BeforeEach
    void load() throws Exception {
        deployment = DeploymentLoader.parse("test", """
                [deployment]
                name = test
                failure-domains = north, south
                [pool engines]
                kind = engine
                size = 4
                models = m
                concurrency = 4
                [pipeline check]
                stages = generate
                deadline = 2s
                priority = interactive
                [stage check/generate]
                pool = engines
                model = m
                [pipeline review]
                stages = generate
                deadline = 8s
                priority = batch
                [stage review/generate]
                pool = engines
                model = m
                [account class]
                key-sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
                rate-per-second = 1000
                highest-priority = interactive
                pipelines = check
                [account desk]
                key-sha256 = 3bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
                rate-per-second = 1000
                pipelines = review
                max-deadline = 8s
                """);
    }

    /**
     * All engines fail every attempt, are ten times slower, or stall at the same time. Requests miss their deadlines
     * anyway; retries without a budget would triple the load during the fault and prolong the overload after it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"error", "slow", "stall"})
    void faultOfAllEnginesCausesNoRetryStorm(String effect) throws Exception {
        Trace trace = trace(fault(effect, 0, 5, 15));

        ReplayResult result = Replay.run(trace, deployment, PolicyKind.ADAPTIVE);

        assertThat(result.extraAttempts()).isLessThanOrEqualTo(0.1);
        assertThat(result.attainment(r -> r.atNanos() > 17_000_000_000L && r.priority() == Priority.INTERACTIVE))
                .isGreaterThanOrEqualTo(0.95);
    }

    /**
     * One of four engines accepts work and finishes nothing. Its agent still responds, so only the attempt duration
     * shows the fault. Requests with an attempt there must be retried elsewhere, and later ones must not be sent
     * there.
     */
    @Test
    void stalledEngineCostsInteractiveCallersLittle() throws Exception {
        Trace trace = trace(fault("stall", 1, 5, 15));

        ReplayResult adaptive = Replay.run(trace, deployment, PolicyKind.ADAPTIVE);
        ReplayResult first = Replay.run(trace, deployment, PolicyKind.LEAST_LOAD);

        assertThat(interactive(adaptive)).isGreaterThanOrEqualTo(0.98).isGreaterThanOrEqualTo(interactive(first));
    }

    /**
     * Batch work of three times the engines' capacity arrives. Interactive requests must not be affected, and batch
     * requests that would miss their deadline must be refused before they cost anything.
     */
    @Test
    void batchOverloadDoesNotAffectInteractiveRequests() throws Exception {
        Trace trace = trace(
                "{\"kind\":\"load\",\"from_s\":5,\"to_s\":15,\"per_s\":30,\"account\":\"desk\",\"pipeline\":\"review\","
                        + "\"work_ms\":{\"generate\":1000}}\n");

        ReplayResult adaptive = Replay.run(trace, deployment, PolicyKind.ADAPTIVE);

        assertThat(interactive(adaptive)).isGreaterThanOrEqualTo(0.99);
        assertThat(adaptive.misses()).containsKey("refused-deadline-unreachable");
        assertThat(adaptive.wasted())
                .isLessThan(Replay.run(trace, deployment, PolicyKind.BASELINE).wasted());
    }

    private static double interactive(ReplayResult result) {
        return result.attainment(r -> r.priority() == Priority.INTERACTIVE);
    }

    private static String fault(String effect, int count, int from, int to) {
        return "{\"kind\":\"fault\",\"effect\":\"" + effect + "\",\"pool\":\"engines\",\"count\":" + count
                + ",\"factor\":10,\"from_s\":" + from + ",\"to_s\":" + to + "}\n";
    }

    private Trace trace(String lines) throws Exception {
        return TraceReader.read(Files.writeString(folder.resolve("t.jsonl"), LOADS + lines), deployment);
    }
}
