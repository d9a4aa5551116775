package org.copperspindle.capacity;

/**
 * Receives the progress of a long measurement.
 */
@FunctionalInterface
public interface ProbeProgress {

    /**
     * Called when a step begins.
     *
     * @param step description of the step
     */
    void step(String step);
}
