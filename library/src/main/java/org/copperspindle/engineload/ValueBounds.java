package org.copperspindle.engineload;

import java.util.List;

/**
 * Bounds of the values in messages between nodes. A message with a value out of bounds is dropped whole.
 */
final class ValueBounds {

    /** Engines of a pool in a table; a node with more uses its own counts for the rest. */
    static final int MAX_ENGINES = 512;

    /** More tokens than an engine reads in an hour. */
    static final long MAX_TOKENS = 100_000_000L;

    /** More streams than an engine has slots. */
    static final long MAX_STREAMS = 100_000L;

    /** Far beyond the longest timeout of a route, in milliseconds. */
    static final long MAX_MILLIS = 10_000_000L;

    /** Ten times the median of the pool, in thousandths. */
    static final long MAX_PACE = 10_000L;

    /** First events that one node reports of a pool at once. */
    static final int MAX_SAMPLES = 1024;

    private static final int MAX_ID_LENGTH = 256;

    private ValueBounds() {}

    static boolean areIds(List<String> ids) {
        return ids.size() <= MAX_ENGINES && ids.stream().allMatch(id -> !id.isEmpty() && id.length() <= MAX_ID_LENGTH);
    }

    static boolean areNumbers(List<Long> numbers, int count, long min, long max) {
        return numbers.size() == count && numbers.stream().allMatch(n -> isWithin(n, min, max));
    }

    static boolean isWithin(long number, long min, long max) {
        return number >= min && number <= max;
    }
}
