package org.copperspindle.audit;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how the audit trail describes a configuration change.
 */
class ConfigDifferenceTest {

    private static final String DIGEST = "0123456789abcdef".repeat(4);

    @Test
    void listsSectionsAndKeys() {
        String before = "[deployment]\nname = a\n[pool x]\nsize = 1\n[pool gone]\nsize = 2\n";
        String after = "[deployment]\nname = a\n[pool x]\nsize = 3\nkind = engine\n[pool new]\nsize = 4\n";

        assertThat(ConfigDifference.between(before, after))
                .containsExactly(
                        "- [pool gone]",
                        "+ [pool new]",
                        "~ [pool x] kind: (none) -> engine",
                        "~ [pool x] size: 1 -> 3");
    }

    @Test
    void hidesSecrets() {
        String before = "[account a]\nkey-sha256 = " + DIGEST + "\napi-token = hush\n";
        String after = "[account a]\nkey-sha256 = " + DIGEST.replace('0', 'f') + "\napi-token: louder\n";

        assertThat(ConfigDifference.between(before, after))
                .containsExactly(
                        "~ [account a] api-token: (hidden) -> (hidden)",
                        "~ [account a] key-sha256: 01234567... -> f1234567...");
    }

    @Test
    void isBounded() {
        StringBuilder after = new StringBuilder();
        for (int i = 0; i < 1000; i++) {
            after.append("[pool p").append(i).append("]\nsize = 1\n");
        }

        assertThat(ConfigDifference.between("", after.toString())).hasSize(65).endsWith("and 936 more");
    }
}
