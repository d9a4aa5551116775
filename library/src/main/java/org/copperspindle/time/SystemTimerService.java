package org.copperspindle.time;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Timer service in real time. A single timer thread passes due tasks to an executor, normally the daemon's decision
 * ring. It uses the JDK's scheduler rather than a hashed wheel timer, whose ticks would cost an idle control process
 * too much of its small share of a core.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {

    private final ScheduledThreadPoolExecutor scheduler;
    private final Executor executor;

    /**
     * Starts the timer thread.
     *
     * @param name     name of the timer thread
     * @param executor executor that runs due tasks
     */
    public SystemTimerService(String name, Executor executor) {
        this.executor = executor;
        this.scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        this.scheduler.setRemoveOnCancelPolicy(true);
        // A task on the decision ring may still schedule a timer while the process stops; that is not a failure.
        this.scheduler.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public TimerSubscription schedule(long delayNanos, Runnable task) {
        Future<?> future =
                scheduler.schedule(() -> executor.execute(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
