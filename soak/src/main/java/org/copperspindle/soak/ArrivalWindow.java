package org.copperspindle.soak;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts what arrives in each window of a length, which slides by single arrivals. Not safe for several threads.
 */
final class ArrivalWindow {

    private final long millis;
    private final Deque<Long> arrivals = new ArrayDeque<>();

    /** Creates a window of so many milliseconds. */
    ArrivalWindow(long millis) {
        this.millis = millis;
    }

    /** Counts an arrival; returns how many there are in the window that ends with it. */
    int add(long now) {
        arrivals.addLast(now);
        while (now - arrivals.peekFirst() >= millis) {
            arrivals.pollFirst();
        }
        return arrivals.size();
    }

    void clear() {
        arrivals.clear();
    }
}
