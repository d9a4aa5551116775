package org.copperspindle.time;

/**
 * A task that runs some time after it was asked for, once for all that ask meanwhile. It may ask for itself again while it
 * runs. For the thread of its timers.
 */
public final class DeferredTask {

    private final TimerService timers;
    private final Runnable task;
    private boolean pending;

    /**
     * Creates the task; it does not run by itself.
     *
     * @param timers time
     * @param task   what to run
     */
    public DeferredTask(TimerService timers, Runnable task) {
        this.timers = timers;
        this.task = task;
    }

    /**
     * Has it run, unless it is about to run already.
     *
     * @param delayNanos nanoseconds from now
     */
    public void schedule(long delayNanos) {
        if (!pending) {
            pending = true;
            timers.schedule(delayNanos, this::run);
        }
    }

    private void run() {
        pending = false;
        task.run();
    }
}
