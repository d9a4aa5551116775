package org.copperspindle.gateway;

import java.nio.file.Path;
import java.time.Duration;

import org.copperspindle.settings.SettingsException;
import org.copperspindle.settings.SettingsFile;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class GatewaySettingsReaderTest {

    private static final String NODE = """
            [node]
            name = n1
            failure-domain = a
            callers = 127.0.0.1:7001
            readiness = 127.0.0.1:7002
            control = 127.0.0.1:7003
            mesh = 127.0.0.1:7004
            seeds = 127.0.0.1:7004, 127.0.0.1:7104
            """;

    @Test
    void readsNodeSettings() throws SettingsException {
        GatewaySettings settings = GatewaySettingsReader.read(SettingsFile.parse(
                "f", NODE + "data-folder = /data/n1\nstop-grace = 3s\ncores = 0.5\nmemory = 330MiB\n"));
        assertThat(settings.name()).isEqualTo("n1");
        assertThat(settings.seeds()).hasSize(2);
        assertThat(settings.dataFolder()).contains(Path.of("/data/n1"));
        assertThat(settings.stopGrace()).isEqualTo(Duration.ofSeconds(3));
        assertThat(settings.cores()).isEqualTo(0.5);
        assertThat(settings.memoryBytes()).hasValue(330L << 20);
    }

    @ParameterizedTest
    @CsvSource({
        "tolerated-losses = many, tolerated-losses",
        "revocation = 5, revocation",
        "metrics = localhost:1, metrics",
        "colour = red, colour"
    })
    void namesTheInvalidKey(String line, String key) {
        assertThatThrownBy(() -> GatewaySettingsReader.read(SettingsFile.parse("f", NODE + line)))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("node")
                .hasMessageContaining(key);
    }
}
