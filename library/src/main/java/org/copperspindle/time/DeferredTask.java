package org.copperspindle.time;

/**
 * A task that runs after a delay, once for all requests made in the meantime. It may schedule itself again while it
 * runs. Not thread-safe: used only on the thread that runs the timers' tasks.
 */
public final class DeferredTask {

    private final TimerService timers;
    private final Runnable task;
    private boolean pending;

    /**
     * Creates the task without scheduling it.
     *
     * @param timers timer service
     * @param task   the task
     */
    public DeferredTask(TimerService timers, Runnable task) {
        this.timers = timers;
        this.task = task;
    }

    /**
     * Schedules the task, unless it is already pending.
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
