package org.copperspindle.backpressure;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.DoubleStream;

/**
 * Decimal numbers in header fields of upstreams, which may hold anything.
 */
final class FieldNumber {

    private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,18}(\\.[0-9]{0,18})?");

    /** Longest part of an unreadable text that is kept for logs. */
    private static final int LONGEST_TEXT = 40;

    private FieldNumber() {}

    /** Returns those of the values that are numbers of zero or more, without sign or exponent. */
    static DoubleStream readable(List<String> values) {
        return values.stream()
                .map(String::trim)
                .filter(value -> DECIMAL.matcher(value).matches())
                .mapToDouble(Double::parseDouble);
    }

    static String shortened(String text) {
        return text.substring(0, Math.min(LONGEST_TEXT, text.length()));
    }
}
