package org.copperspindle.placement;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * An engine that may take a request, with its load as known to this node.
 *
 * @param engine            the engine
 * @param score             rendezvous score of the engine for the shared part of the prompt; the highest is its home
 * @param cached            true if the engine has probably cached the shared part
 * @param waitingTokens     prompt tokens of other attempts that it has not read yet
 * @param tokensPerNano     its prompt-reading speed in tokens per nanosecond
 * @param baseNanos         time from the end of reading to the first event, in nanoseconds
 * @param streams           attempts of all nodes that run there
 * @param longestPauseNanos recent longest pause between events of a stream there, in nanoseconds
 */
public record EngineCandidate(
        UpstreamRecord engine,
        long score,
        boolean cached,
        long waitingTokens,
        double tokensPerNano,
        long baseNanos,
        long streams,
        long longestPauseNanos) {}
