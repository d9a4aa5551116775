package org.copperspindle.direct;

import java.util.regex.Pattern;

/**
 * Syntax of a status line (RFC 9112, 4): HTTP/1, a status of three digits in one of the five classes, and a reason without
 * control characters.
 */
final class StatusLineSyntax {

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    private static final Pattern REASON = Pattern.compile("[\\t\\x20-\\x7e\\x80-\\xff]*");

    private StatusLineSyntax() {}

    /**
     * Checks the parts of a status line.
     *
     * @param version protocol and its version
     * @param status  status
     * @param reason  reason phrase, empty if there is none
     * @throws IllegalArgumentException if one of them is malformed
     */
    static void check(String version, String status, String reason) {
        check(VERSION, version);
        check(STATUS, status);
        check(REASON, reason);
    }

    private static void check(Pattern syntax, String part) {
        if (!syntax.matcher(part).matches()) {
            throw new IllegalArgumentException("malformed status line");
        }
    }
}
