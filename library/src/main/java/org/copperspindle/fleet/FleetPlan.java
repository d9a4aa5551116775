package org.copperspindle.fleet;

import java.util.List;

/**
 * Desired placement of the fleet according to one configuration version.
 *
 * @param weightStore load limits of the weight store
 * @param pools       pools whose placement is managed by control; other pools keep what their upstreams announce
 */
public record FleetPlan(WeightStoreSettings weightStore, List<PlacementSettings> pools) {

    /** A plan that manages no pool. */
    public static final FleetPlan EMPTY = new FleetPlan(WeightStoreSettings.DEFAULT, List.of());
}
