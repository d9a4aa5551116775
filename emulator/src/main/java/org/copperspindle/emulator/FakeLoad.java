package org.copperspindle.emulator;

import java.util.Optional;

/**
 * How fast a fake works now, and what its responses state of its load.
 *
 * @param pacePercent how long work takes it, in percent of the usual time
 * @param figures     number of figures that its responses state: running and waiting calls, slots, and the pace; 0 for
 *                    none, 3 without the pace, 4 with it
 */
public record FakeLoad(int pacePercent, int figures) {

    /** Works as usual and states nothing. */
    public static final FakeLoad USUAL = new FakeLoad(100, 0);

    private static final int COUNTS = 3;
    private static final int PERCENT = 100;

    /** Returns the time that work takes now. */
    long scaled(long usualNanos) {
        return usualNanos * pacePercent / PERCENT;
    }

    /** Returns the value of the load field. */
    Optional<String> statement(int running, int waiting, int slots) {
        if (figures < COUNTS) {
            return Optional.empty();
        }
        String counts = running + "," + waiting + ',' + slots;
        return Optional.of(figures == COUNTS ? counts : counts + ',' + pacePercent);
    }
}
