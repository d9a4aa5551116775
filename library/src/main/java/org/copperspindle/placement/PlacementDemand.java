package org.copperspindle.placement;

/**
 * What a request needs from an engine.
 *
 * @param requestId     id of the request, by which equal engines are spread
 * @param promptTokens  tokens of its prompt
 * @param sharedTokens  tokens of the part that it shares with other requests
 * @param leftNanos     time left until its next event is late, in nanoseconds; negative if it is late already
 * @param maxPauseNanos longest pause between events that its route allows, in nanoseconds; 0 if there is no limit
 * @param waitedNanos   how long it has already waited for an engine, in nanoseconds
 * @param resumed       true if events of its stream have reached the caller and its engine has failed
 */
public record PlacementDemand(
        String requestId,
        long promptTokens,
        long sharedTokens,
        long leftNanos,
        long maxPauseNanos,
        long waitedNanos,
        boolean resumed) {}
