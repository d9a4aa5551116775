package org.copperspindle.measure;

import java.util.List;

/**
 * Finds the window of a given length that contains the most arrivals.
 */
public final class BusiestWindow {

    private BusiestWindow() {}

    /**
     * Counts the arrivals in that window.
     *
     * @param arrivals arrival times, in any order
     * @param length   length of a window, in the same unit
     * @return a count
     */
    public static int count(List<Long> arrivals, long length) {
        long[] times = arrivals.stream().mapToLong(Long::longValue).sorted().toArray();
        int highest = 0;
        int first = 0;
        for (int last = 0; last < times.length; last++) {
            while (times[last] - times[first] >= length) {
                first++;
            }
            highest = Math.max(highest, last - first + 1);
        }
        return highest;
    }
}
