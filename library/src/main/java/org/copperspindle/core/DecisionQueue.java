package org.copperspindle.core;

/**
 * Accepts tasks for the thread that owns the decision state. Tests in virtual time run them immediately.
 */
public interface DecisionQueue {

    /**
     * Queues a task without blocking.
     *
     * @param task task to run on the decision thread
     * @return false if the queue is full and the task was not accepted
     */
    boolean offer(Runnable task);
}
