package org.copperspindle.capacity;

import java.util.List;

/**
 * All measurements, in the order in which they run.
 */
public final class CapacityProbeFactory {

    private CapacityProbeFactory() {}

    /**
     * Makes the measurements.
     *
     * @return one probe of each kind
     */
    public static List<CapacityProbe> all() {
        return List.of(new FleetViewProbe(), new LeaseProbe(), new RequestProbe());
    }

    /**
     * Returns the names that select a measurement.
     *
     * @return one for each probe
     */
    public static List<String> names() {
        return all().stream().map(CapacityProbe::name).toList();
    }
}
