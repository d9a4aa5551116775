package org.copperspindle.fleet;

import java.util.List;

/**
 * Wanted placement of the fleet, from one configuration version.
 *
 * @param weightStore what the weight store bears
 * @param pools       pools that are placed by control; others are left as their upstreams announce them
 */
public record FleetPlan(WeightStoreSettings weightStore, List<PlacementSettings> pools) {

    /** Places nothing. */
    public static final FleetPlan EMPTY = new FleetPlan(WeightStoreSettings.DEFAULT, List.of());
}
