package org.copperspindle.config;

import org.copperspindle.settings.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * A deployment file with one thing wrong is refused whole, and the fault is named.
 */
class DeploymentChecksTest {

    private static final String RIGHT = """
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
    void rightFileIsRead() {
        assertThatCode(() -> DeploymentLoader.parse("sample", RIGHT)).doesNotThrowAnyException();
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
    void faultIsNamed(String right, String wrong, String named) {
        assertThatThrownBy(() -> DeploymentLoader.parse("sample", RIGHT.replace(right, wrong)))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining(named);
    }

    /** Two accounts with one key: a request would count for either, as chance has it. */
    @Test
    void sharedKeyIsRefused() {
        assertThatThrownBy(() -> DeploymentLoader.parse("sample", RIGHT.replace("b".repeat(64), "a".repeat(64))))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("another account has the same key");
    }
}
