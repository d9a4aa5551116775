package org.copperspindle.demo;

import java.nio.file.Files;
import java.nio.file.Path;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * The traces that ship fit the deployments that ship.
 */
class DemoTraceTest {

    @ParameterizedTest
    @ValueSource(strings = {"wijzerplaat", "aarebogen"})
    void shippedTraceCallsOnlyWhatItsAccountsMay(String name) throws Exception {
        Deployment deployment = DeploymentLoader.load(Path.of("..", "conf", name + ".ini"));
        DemoTrace trace = DemoTrace.shipped(name).orElseThrow();

        assertThat(trace.deployment()).isEqualTo(name);
        assertThat(trace.calls()).isSortedAccordingTo((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
        assertThat(trace.calls())
                .allSatisfy(
                        c -> assertThat(deployment.accounts().get(c.account()).pipelines())
                                .contains(c.call()));
        assertThat(trace.calls())
                .extracting(TraceCall::call)
                .containsAll(deployment.pipelines().keySet());
    }

    @Test
    void fileOfAnotherVersionIsRefused(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("trace.jsonl");
        Files.writeString(file, "{\"format\":\"copperspindle-trace\",\"version\":2}\n");

        assertThatThrownBy(() -> DemoTrace.load(file)).hasMessageContaining("line 1");
    }
}
