package org.copperspindle.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Shares the time of one network thread among connections whose bytes take long to decode. Such a connection decodes a bounded
 * number of units, then waits for its next turn, and the thread serves everything else in between. Used on that thread only.
 */
final class DecodingTurns {

    /** Units that a connection decodes in one turn. A chunk, a header line or a member of a list in one is one unit. */
    static final int CONNECTION_UNITS = 256;

    /** Units of a whole request, which takes much longer to handle than to decode. */
    static final int REQUEST_UNITS = 32;

    /** Units of all waiting connections between two looks of the thread at its other connections. */
    private static final int THREAD_UNITS = 2048;

    private final ScheduledExecutorService thread;
    private final Deque<Decoder> waiting = new ArrayDeque<>();
    private boolean scheduled;

    DecodingTurns(ScheduledExecutorService thread) {
        this.thread = thread;
    }

    /** Adds a connection at the end of those that wait. */
    void await(Decoder decoder) {
        waiting.add(decoder);
        if (!scheduled) {
            scheduled = true;
            // A task without a delay would run before the thread looks at its connections again; a scheduled one runs
            // after.
            thread.schedule(this::run, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void run() {
        scheduled = false;
        int left = THREAD_UNITS;
        int turns = waiting.size();
        while (left > 0 && turns > 0) {
            left -= waiting.remove().decodeWaiting();
            turns--;
        }
        if (!waiting.isEmpty() && !scheduled) {
            scheduled = true;
            thread.schedule(this::run, 0, TimeUnit.NANOSECONDS);
        }
    }

    /** A connection that has bytes to decode. */
    @FunctionalInterface
    interface Decoder {
        /**
         * Decodes during one turn, and waits for another if that is not enough.
         *
         * @return the units that were decoded
         */
        int decodeWaiting();
    }
}
