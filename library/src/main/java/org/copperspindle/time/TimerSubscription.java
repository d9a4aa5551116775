package org.copperspindle.time;

/**
 * A handle to a task scheduled with a {@link TimerService}.
 */
@FunctionalInterface
public interface TimerSubscription {

    /** Cancels the task; does nothing if it has run or was cancelled before. */
    void cancel();
}
