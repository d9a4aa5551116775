package org.copperspindle.capacity;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/**
 * Waits of the measurements.
 */
final class Await {

    private static final long POLL_MILLIS = 1;

    private Await() {}

    /**
     * Waits for a condition.
     *
     * @param what      the condition in words
     * @param limit     longest wait
     * @param condition the condition
     * @throws TimeoutException     if it does not come true
     * @throws InterruptedException if the wait is interrupted
     */
    static void until(String what, Duration limit, BooleanSupplier condition)
            throws TimeoutException, InterruptedException {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new TimeoutException("waited " + limit.toSeconds() + " s for: " + what);
            }
            pause(Duration.ofMillis(POLL_MILLIS));
        }
    }

    /**
     * Lets time pass.
     *
     * @param time how long
     * @throws InterruptedException if the wait is interrupted
     */
    static void pause(Duration time) throws InterruptedException {
        new CountDownLatch(1).await(time.toNanos(), TimeUnit.NANOSECONDS);
    }
}
