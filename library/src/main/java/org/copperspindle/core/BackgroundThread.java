package org.copperspindle.core;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Creates single-thread executors for work that takes too long for the decision ring and the network threads. The
 * thread ends when it is idle.
 */
public final class BackgroundThread {

    private static final long IDLE_SECONDS = 10;

    private BackgroundThread() {}

    /**
     * Creates an executor with one background thread.
     *
     * @param name          name of the thread
     * @param queueCapacity most tasks that may be queued; a further one is rejected with
     *                      {@link java.util.concurrent.RejectedExecutionException}
     * @return the executor
     */
    public static ThreadPoolExecutor create(String name, int queueCapacity) {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                1, 1, IDLE_SECONDS, TimeUnit.SECONDS, new ArrayBlockingQueue<>(queueCapacity), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }
}
