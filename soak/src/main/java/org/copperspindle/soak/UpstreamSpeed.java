package org.copperspindle.soak;

import java.util.List;
import java.util.Random;

import org.copperspindle.dialect.HeaderNames;
import org.copperspindle.http.HeaderField;

/**
 * How fast a stand-in works all its life, and what its answers state of its load.
 *
 * @param percent time that work takes it, in percent of the usual time
 * @param figures figures that its answers state: none, three without the pace, or four with it
 */
record UpstreamSpeed(int percent, int figures) {

    /** Works as usual and states nothing. */
    static final UpstreamSpeed USUAL = new UpstreamSpeed(100, 0);

    private static final int FASTEST_PERCENT = 80;

    /** Still answers within the time that the routes and stage pools of the soak allow. */
    private static final int SLOWEST_PERCENT = 250;

    private static final List<Integer> FIGURES = List.of(0, 3, 4);
    private static final int ALL_FIGURES = 4;
    private static final int PERCENT = 100;

    /** Draws a speed. */
    static UpstreamSpeed of(Random random) {
        int percent = FASTEST_PERCENT + random.nextInt(SLOWEST_PERCENT - FASTEST_PERCENT);
        return new UpstreamSpeed(percent, FIGURES.get(random.nextInt(FIGURES.size())));
    }

    long scaled(long millis) {
        return millis * percent / PERCENT;
    }

    /** Returns what an answer states. */
    List<HeaderField> fields(int running, int slots) {
        if (figures == 0) {
            return List.of();
        }
        String counts = running + ",0," + slots;
        String value = figures == ALL_FIGURES ? counts + ',' + percent : counts;
        return List.of(new HeaderField(HeaderNames.STANDARD.load(), value));
    }
}
