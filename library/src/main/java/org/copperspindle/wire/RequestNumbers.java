package org.copperspindle.wire;

import java.util.concurrent.ThreadLocalRandom;
import java.util.random.RandomGenerator;

/**
 * Numbers by which a process assigns responses to its requests. They count up from a random start. Otherwise a process that
 * restarts at its address would use the numbers of its former process again, and accept responses to that one's requests
 * for its own. Not thread-safe.
 */
public final class RequestNumbers {

    private long last;

    /**
     * Creates numbers that no other process is likely to use.
     */
    public RequestNumbers() {
        this(ThreadLocalRandom.current());
    }

    /**
     * Creates numbers with a given start.
     *
     * @param random source of the start; half of the range of positive numbers is left to count up
     */
    public RequestNumbers(RandomGenerator random) {
        last = random.nextLong(Long.MAX_VALUE / 2);
    }

    /**
     * Returns the number of the next request.
     *
     * @return a positive number, larger than those returned before
     */
    public long next() {
        return ++last;
    }

    /**
     * Returns the number of the last request.
     *
     * @return the start if there was none
     */
    public long last() {
        return last;
    }
}
