package org.copperspindle.time;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Real time. A single timer thread hands due tasks to an executor, normally the daemon's decision ring. The JDK's
 * scheduler is used rather than a ticking wheel: an idle control process must stay within its share of a core.
 */
public final class SystemTimerService implements TimerService, AutoCloseable {

    private final ScheduledThreadPoolExecutor scheduler;
    private final Executor executor;

    /**
     * Starts the timer thread.
     *
     * @param name     name of the timer thread
     * @param executor where due tasks run
     */
    public SystemTimerService(String name, Executor executor) {
        this.executor = executor;
        this.scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        });
        this.scheduler.setRemoveOnCancelPolicy(true);
        // A task of the ring may still subscribe while the process ends; that is not a failure.
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
