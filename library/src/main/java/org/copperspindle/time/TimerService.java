package org.copperspindle.time;

/**
 * The only source of time for decisions, which read {@link #nanoTime()} and schedule tasks. Tests and replay use a
 * {@link VirtualTimerService} instead.
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
     * @param task       the task
     * @return a subscription that can be cancelled
     */
    TimerSubscription schedule(long delayNanos, Runnable task);
}
