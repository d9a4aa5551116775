package org.copperspindle.capacity;

import java.util.List;

/**
 * One measurement. Probes run one after another in a process that does nothing else.
 */
public interface CapacityProbe {

    /**
     * Returns the name that selects the probe on the command line.
     *
     * @return a short word
     */
    String name();

    /**
     * Measures.
     *
     * @param progress told what is being done
     * @return one or more lines
     * @throws Exception if a stand-in fails
     */
    List<CapacitySlope> measure(ProbeProgress progress) throws Exception;
}
