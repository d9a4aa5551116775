package org.copperspindle.replay;

import java.util.List;

/**
 * One whole trace.
 *
 * @param name     its name
 * @param seed     seed of every random choice of its replay
 * @param entries  entries that the platform's balancer spreads requests over
 * @param requests requests by arrival
 * @param faults   faults by start
 * @param outcomes outcomes that a replay must show
 */
public record Trace(
        String name,
        long seed,
        int entries,
        List<TraceRequest> requests,
        List<TraceFault> faults,
        List<TraceOutcome> outcomes) {}
