package org.copperspindle.route;

/**
 * A pool that gets a share of the requests of a route.
 *
 * @param pool   its name
 * @param weight share relative to the other pools of the route, zero or more
 */
public record WeightedPool(String pool, int weight) {}
