package org.copperspindle.capacity;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/**
 * Waits for conditions during measurements.
 */
final class Await {

    private static final long POLL_INTERVAL_MILLIS = 1;

    private Await() {}

    /**
     * Waits for a condition.
     *
     * @param what      description of the condition for the error message
     * @param limit     time limit
     * @param condition the condition
     * @throws TimeoutException     if the condition is not met in time
     * @throws InterruptedException if the wait is interrupted
     */
    static void until(String what, Duration limit, BooleanSupplier condition)
            throws TimeoutException, InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("timed out after " + limit.toSeconds() + " s waiting for: " + what);
            }
            pause(Duration.ofMillis(POLL_INTERVAL_MILLIS));
        }
    }

    /**
     * Waits for a fixed time.
     *
     * @param time duration of the wait
     * @throws InterruptedException if the wait is interrupted
     */
    static void pause(Duration time) throws InterruptedException {
        new CountDownLatch(1).await(time.toNanos(), TimeUnit.NANOSECONDS);
    }
}
