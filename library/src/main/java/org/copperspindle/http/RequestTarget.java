package org.copperspindle.http;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A request target (RFC 9112, 3.2) in origin or absolute form. Other forms are not supported, because nothing here
 * is served under them.
 *
 * @param path       decoded path
 * @param parameters decoded query
 */
record RequestTarget(String path, Map<String, List<String>> parameters) {

    /** Target of a request that could not be read. */
    static final RequestTarget NONE = new RequestTarget("", Map.of());

    private static final char LAST_ASCII = 0x7f;

    private static final Pattern ABSOLUTE = Pattern.compile("(?i)https?://[^/?#]+(/.*)?");

    /**
     * Parses a target.
     *
     * @param text target as sent in the request line
     * @return the target, empty if it has another form, an invalid percent escape or bytes that are not ASCII (RFC 3986, 2)
     */
    static Optional<RequestTarget> parse(String text) {
        // Each byte was read as one character, and would be written as two.
        if (text.chars().anyMatch(c -> c > LAST_ASCII)) {
            return Optional.empty();
        }
        Matcher absolute = ABSOLUTE.matcher(text);
        String origin = text;
        if (absolute.matches()) {
            origin = absolute.group(1) == null ? "/" : absolute.group(1);
        }
        if (!origin.startsWith("/")) {
            return Optional.empty();
        }
        try {
            QueryStringDecoder decoder = new QueryStringDecoder(origin);
            return Optional.of(new RequestTarget(decoder.path(), decoder.parameters()));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
