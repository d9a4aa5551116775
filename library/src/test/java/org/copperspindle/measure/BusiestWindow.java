package org.copperspindle.measure;

import java.util.List;

/**
 * Finds the window in which most arrived, among all windows of a length.
 */
public final class BusiestWindow {

    private BusiestWindow() {}

    /**
     * Counts what arrived in it.
     *
     * @param arrivals moments, in any order
     * @param length   length of a window, in the same unit
     * @return a count
     */
    public static int count(List<Long> arrivals, long length) {
        long[] times = arrivals.stream().mapToLong(Long::longValue).sorted().toArray();
        int most = 0;
        int from = 0;
        for (int to = 0; to < times.length; to++) {
            while (times[to] - times[from] >= length) {
                from++;
            }
            most = Math.max(most, to - from + 1);
        }
        return most;
    }
}
