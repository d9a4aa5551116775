package org.copperspindle.route;

/**
 * A pool that gets a share of a route's requests.
 *
 * @param pool   its name
 * @param weight share against the other pools of the route, zero or more
 */
public record WeightedPool(String pool, int weight) {}
