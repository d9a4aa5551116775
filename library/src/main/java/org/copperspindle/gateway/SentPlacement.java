package org.copperspindle.gateway;

import org.copperspindle.placement.PlacementReason;

/**
 * How the engine of an attempt was chosen.
 *
 * @param reason      why that engine
 * @param waitedNanos how long the request waited for it, in nanoseconds
 */
record SentPlacement(PlacementReason reason, long waitedNanos) {}
