package org.copperspindle.gateway;

/**
 * When the next event of a request is late.
 *
 * @param requestId   id of the request
 * @param leftNanos   time until its next event is late, in nanoseconds; negative if it is late already
 * @param resumed     true if events of its stream have reached the caller
 */
record PlacementTimes(String requestId, long leftNanos, boolean resumed) {}
