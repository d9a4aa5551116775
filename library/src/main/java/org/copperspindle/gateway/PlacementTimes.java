package org.copperspindle.gateway;

/**
 * When the next event of a request is late, and how long it has waited for an engine.
 *
 * @param requestId   id of the request
 * @param leftNanos   time until its next event is late, in nanoseconds; negative if it is late already
 * @param waitedNanos how long it has already waited for an upstream, in nanoseconds; {@link Long#MAX_VALUE} if it must
 *     not wait
 * @param resumed     true if events of its stream have reached the caller
 */
record PlacementTimes(String requestId, long leftNanos, long waitedNanos, boolean resumed) {}
