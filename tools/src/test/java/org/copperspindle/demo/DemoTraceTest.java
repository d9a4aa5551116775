package org.copperspindle.demo;

import java.nio.file.Path;
import java.util.List;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.replay.TraceReader;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The shipped demonstration traces match the shipped deployments.
 */
class DemoTraceTest {

    @ParameterizedTest
    @ValueSource(strings = {"wijzerplaat", "aarebogen"})
    void shippedTraceCallsEveryPipelineWithAuthorizedAccounts(String name) throws Exception {
        Deployment deployment = DeploymentLoader.load(Path.of("..", "conf", name + ".ini"));
        List<TraceCall> calls = new DemoTrace(deployment, 1)
                .calls(TraceReader.read(Path.of("..", "traces", "demo", name + ".jsonl"), deployment));

        assertThat(calls).isSortedAccordingTo((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        assertThat(calls)
                .allSatisfy(
                        c -> assertThat(deployment.accounts().get(c.account()).pipelines())
                                .contains(c.call()));
        assertThat(calls)
                .extracting(TraceCall::call)
                .containsAll(deployment.pipelines().keySet());
        assertThat(calls).anyMatch(TraceCall::stream).anyMatch(c -> c.resendMillis() > 0);
    }
}
