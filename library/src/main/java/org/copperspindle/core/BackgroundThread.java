package org.copperspindle.core;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * One thread for work that is too long for the decision ring and the network threads. It ends when it is idle.
 */
public final class BackgroundThread {

    private static final long IDLE_SECONDS = 10;

    private BackgroundThread() {}

    /**
     * Creates the executor of such a thread.
     *
     * @param name    name of the thread
     * @param waiting most tasks that may wait; one more is rejected with
     *                {@link java.util.concurrent.RejectedExecutionException}
     * @return the executor
     */
    public static ThreadPoolExecutor create(String name, int waiting) {
        ThreadPoolExecutor executor = new ThreadPoolExecutor(
                1, 1, IDLE_SECONDS, TimeUnit.SECONDS, new ArrayBlockingQueue<>(waiting), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        executor.allowCoreThreadTimeOut(true);
        return executor;
    }
}
