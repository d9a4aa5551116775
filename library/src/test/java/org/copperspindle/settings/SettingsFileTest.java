package org.copperspindle.settings;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests that names and values are read as written, without the path syntax and variable substitution of the INI
 * library.
 */
class SettingsFileTest {

    private static final String TEXT = """
            [pool a.b]
            key.one = ${env:HOME}
            [pool c]
            key = x, y
            [pool a.b]
            key(1) = later
            """;

    @ParameterizedTest
    @CsvSource({"pool a.b, key.one, ${env:HOME}", "pool a.b, key(1), later", "pool c, key, 'x, y'"})
    void valueIsReadAsWritten(String section, String key, String value) throws SettingsException {
        SettingsFile file = SettingsFile.parse("sample", TEXT);

        assertThat(file.section(section).getString(key, "a value")).isEqualTo(value);
        assertThat(file.sections("pool")).hasSize(2);
    }

    /** A section may occur twice in a file. A key given in both must be reported; neither value may silently win. */
    @Test
    void keyGivenTwiceIsReported() throws SettingsException {
        SettingsFile file = SettingsFile.parse("sample", TEXT + "key.one = again\n");

        assertThatThrownBy(() -> file.finish(List.of("pool")))
                .isInstanceOf(SettingsException.class)
                .hasMessageContaining("[pool a.b] key.one: given 2 times");
    }
}
