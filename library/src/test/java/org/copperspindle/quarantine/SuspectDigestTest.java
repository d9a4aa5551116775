package org.copperspindle.quarantine;

import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SuspectDigestTest {

    private static final SuspectDigest EXPECTED = digest("a", "POST", "h", "/p/x?q=1", "body");

    @Test
    void sameRequestHasTheSameDigest() {
        assertThat(digest("a", "POST", "h", "/p/x?q=1", "body")).isEqualTo(EXPECTED);
        assertThat(EXPECTED.text()).matches("[0-9a-f]{32}");
    }

    /** The last two contain the same byte sequence with other boundaries between the parts. */
    @ParameterizedTest
    @CsvSource({
        "b, POST, h, /p/x?q=1, body",
        "a, PUT, h, /p/x?q=1, body",
        "a, POST, g, /p/x?q=1, body",
        "a, POST, h, /p/x?q=2, body",
        "a, POST, h, /p/x?q=1, bode",
        "a, POST, h, /p/x?q=1, ''",
        "a, POST, h, /p/x?q=1b, ody",
        "a, POST, h/p, /x?q=1, body"
    })
    void anyOtherRequestHasAnotherDigest(String account, String method, String host, String uri, String body) {
        assertThat(digest(account, method, host, uri, body)).isNotEqualTo(EXPECTED);
    }

    /** A part that crashes the upstreams of one pool may be harmless at another. */
    @ParameterizedTest
    @CsvSource({"p, a, p, a, true", "p, a, q, a, false", "p, a, p, b, false", "p, ab, pa, b, false"})
    void promptPartsOfAPoolHaveTheirOwnDigests(String pool, String part, String otherPool, String other, boolean same) {
        assertThat(SuspectDigest.ofPromptPart(pool, part).equals(SuspectDigest.ofPromptPart(otherPool, other)))
                .isEqualTo(same);
    }

    private static SuspectDigest digest(String account, String method, String host, String uri, String body) {
        return SuspectDigest.ofRequest(account, method, host, uri, body.getBytes(StandardCharsets.UTF_8));
    }
}
