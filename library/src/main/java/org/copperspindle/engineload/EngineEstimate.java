package org.copperspindle.engineload;

/**
 * Estimate for one attempt at an engine.
 *
 * @param firstEventNanos estimated time to the first event in nanoseconds
 * @param baseNanos       part of it beyond reading prompts, in nanoseconds
 * @param tokensPerNano    estimated prompt-reading speed in tokens per nanosecond
 * @param pace            prompt-reading speed relative to the median of the pool
 * @param waitingTokens   prompt tokens of other attempts that the engine has not read yet
 * @param streams         attempts of all nodes that are in progress there
 * @param cached          true if the engine has probably cached the shared part of the prompt
 * @param longestPauseNanos recent longest pause between events of a stream in nanoseconds
 */
public record EngineEstimate(
        long firstEventNanos,
        long baseNanos,
        double tokensPerNano,
        double pace,
        long waitingTokens,
        long streams,
        boolean cached,
        long longestPauseNanos) {}
