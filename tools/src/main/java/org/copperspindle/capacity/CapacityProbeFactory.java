package org.copperspindle.capacity;

import java.util.List;

/**
 * Creates all capacity probes, in the order in which they run.
 */
public final class CapacityProbeFactory {

    private CapacityProbeFactory() {}

    /**
     * Creates the probes.
     *
     * @return one probe of each kind
     */
    public static List<CapacityProbe> all() {
        return List.of(new FleetViewProbe(), new LeaseProbe(), new RequestProbe());
    }

    /**
     * Returns the names that select a probe on the command line.
     *
     * @return one name for each probe
     */
    public static List<String> names() {
        return all().stream().map(CapacityProbe::name).toList();
    }
}
