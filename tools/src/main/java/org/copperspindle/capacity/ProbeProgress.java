package org.copperspindle.capacity;

/**
 * Hears what a long measurement is doing.
 */
@FunctionalInterface
public interface ProbeProgress {

    /**
     * A step begins.
     *
     * @param step the step, in words
     */
    void step(String step);
}
