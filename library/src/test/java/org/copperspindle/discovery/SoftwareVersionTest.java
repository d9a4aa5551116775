package org.copperspindle.discovery;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class SoftwareVersionTest {

    private static final int DIGEST_LENGTH = 39;

    @ParameterizedTest
    @ValueSource(strings = {"v1", "v1.2", "2026-12-03+build.7", "sha256:0"})
    void printableTextIsKept(String text) {
        assertThat(SoftwareVersion.of(text).text()).isEqualTo(text);
    }

    /** Two versions that differ anywhere must not become one, however they are written. */
    @ParameterizedTest
    @ValueSource(strings = {"v 1", "v1\n", "\u00e9", "12345678901234567890123456789012345678901234567890"})
    void otherTextIsReplacedByItsDigest(String text) {
        SoftwareVersion version = SoftwareVersion.of(text);
        assertThat(version.text()).hasSize(DIGEST_LENGTH);
        assertThat(version).isNotEqualTo(SoftwareVersion.of(text + "x")).isEqualTo(SoftwareVersion.of(text));
        assertThat(SoftwareVersion.of(version.text())).as("on the wire").isEqualTo(version);
    }

    @Test
    void missingTextIsAVersionOfItsOwn() {
        assertThat(SoftwareVersion.of("")).isEqualTo(SoftwareVersion.UNSTATED).isNotEqualTo(SoftwareVersion.of("v1"));
    }
}
