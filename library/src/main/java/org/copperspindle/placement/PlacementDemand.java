package org.copperspindle.placement;

import org.copperspindle.engineload.EnginePrompt;

/**
 * What a request needs from an engine.
 *
 * @param requestId     id of the request, by which equal engines are spread
 * @param prompt        its prompt
 * @param leftNanos     time left until its next event is late, in nanoseconds; negative if it is late already
 * @param marginNanos   how much earlier than that the next event has to be expected, in nanoseconds
 * @param maxPauseNanos longest pause between events that its route allows, in nanoseconds
 * @param unseenTokens  prompt tokens that other nodes have probably sent since the state of the candidates
 * @param resumed       true if events of its stream have reached the caller and its engine has failed
 */
public record PlacementDemand(
        String requestId,
        EnginePrompt prompt,
        long leftNanos,
        long marginNanos,
        long maxPauseNanos,
        long unseenTokens,
        boolean resumed) {}
