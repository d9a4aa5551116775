package org.copperspindle.time;

/**
 * One pending task of a {@link TimerService}.
 */
@FunctionalInterface
public interface TimerSubscription {

    /** Withdraws the task; does nothing if it has run or was withdrawn before. */
    void cancel();
}
