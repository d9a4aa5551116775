package org.copperspindle.capacity;

import java.util.List;

/**
 * A capacity measurement. Probes run one at a time in an otherwise idle process.
 */
public interface CapacityProbe {

    /**
     * Returns the name that selects the probe on the command line.
     *
     * @return a short name
     */
    String name();

    /**
     * Runs the measurement.
     *
     * @param progress receives a description of each step
     * @return one or more linear fits
     * @throws Exception if a stand-in component fails
     */
    List<CapacitySlope> measure(ProbeProgress progress) throws Exception;
}
