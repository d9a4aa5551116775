package org.copperspindle.time;

/**
 * The only source of time. Decisions read {@link #nanoTime()} and subscribe to instants; tests and replay put a
 * {@link VirtualTimerService} in its place.
 */
public interface TimerService {

    /**
     * Returns monotonic time.
     *
     * @return nanoseconds since an arbitrary origin; never goes back
     */
    long nanoTime();

    /**
     * Runs a task once, after a delay, on the thread that owns the subscriber's state.
     *
     * @param delayNanos nanoseconds from now; zero or less means as soon as possible
     * @param task       what to run
     * @return a subscription that can be cancelled
     */
    TimerSubscription schedule(long delayNanos, Runnable task);
}
