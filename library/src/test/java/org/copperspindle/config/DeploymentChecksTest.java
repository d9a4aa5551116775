package org.copperspindle.config;

import org.copperspindle.settings.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * A deployment file with a single error is rejected as a whole, and the message names the error.
 */
class DeploymentChecksTest {

    private static final String VALID = """
            [deployment]
            name = sample
            failure-domains = north
            [pool engines]
            kind = engine
            size = 1
            models = m
            [pool gallery]
            kind = service
            size = 1
            [pipeline tag]
            stages = generate
            [stage tag/generate]
            pool = engines
            model = m
            [service install]
            pool = gallery
            [account a]
            key-sha256 = %1$s
            rate-per-second = 1
            pipelines = tag, install
            [account b]
            key-sha256 = %2$s
            rate-per-second = 1
            pipelines = install
            """.formatted("a".repeat(64), "b".repeat(64));

    @Test
    void validFileIsAccepted() {
        assertThatCode(() -> DeploymentLoader.parse("sample", VALID)).doesNotThrowAnyException();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "pool = gallery | pool = engines | not of kind service",
                "pool = engines | pool = other | unknown name 'other'",
                "model = m | model = n | unknown name 'n'",
                "pipelines = tag, install | pipelines = tag, other | unknown name 'other'",
                "stages = generate | stages = generate, generate | named twice",
                "stages = generate | stages = a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p, q | at most 16",
                "size = 1 | size = 0 | size",
                "kind = engine | kind = motor | kind",
                "[service install] | [service tag] | taken by another",
                "failure-domains = north | failure-domains = | failure-domains"
            })
    void errorIsReported(String valid, String invalid, String message) {
        assertThatThrownBy(() -> DeploymentLoader.parse("sample", VALID.replace(valid, invalid)))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(message);
    }

    /** If two accounts had the same key, its requests would count for an arbitrary one of them. */
    @Test
    void sharedKeyIsRejected() {
        assertThatThrownBy(() -> DeploymentLoader.parse("sample", VALID.replace("b".repeat(64), "a".repeat(64))))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("another account has the same key");
    }
}
