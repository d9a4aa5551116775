package org.copperspindle.soak;

/**
 * Waits of threads that stand for something outside the nodes.
 */
final class Pause {

    private Pause() {}

    /** Waits; ends early, with the thread's interrupt kept, when the soak ends. */
    static void millis(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
