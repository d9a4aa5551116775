package org.copperspindle.backpressure;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;

/**
 * Parses decimal numbers in header fields of upstreams, whose values are not trusted.
 */
final class FieldNumber {

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,18}(\\.[0-9]{0,18})?");

    /** Characters of an unreadable value that are kept for logs. */
    private static final int MAX_TEXT_LENGTH = 40;

    private FieldNumber() {}

    /** Returns the values that are non-negative decimal numbers without sign or exponent. */
    static DoubleStream readable(List<String> values) {
        return values.stream()
                .map(String::trim)
                .filter(value -> DECIMAL.matcher(value).matches())
                .mapToDouble(Double::parseDouble);
    }

    static String shortened(String text) {
        return text.substring(0, Math.min(MAX_TEXT_LENGTH, text.length()));
    }
}
