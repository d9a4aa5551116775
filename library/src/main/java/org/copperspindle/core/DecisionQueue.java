package org.copperspindle.core;

/**
 * Takes tasks for the thread that owns decision state. Tests in virtual time run them in place.
 */
public interface DecisionQueue {

    /**
     * Hands over a task without waiting.
     *
     * @param task what to run on the decision thread
     * @return false if the queue is full and the task was not taken
     */
    boolean offer(Runnable task);
}
