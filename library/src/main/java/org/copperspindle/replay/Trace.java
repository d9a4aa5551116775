package org.copperspindle.replay;

import java.util.List;

/**
 * A complete trace: requests, faults and expected outcomes.
 *
 * @param name     name of the trace
 * @param seed     seed of the generated requests
 * @param entries  number of entries over which requests are distributed
 * @param requests requests in order of arrival
 * @param faults   faults in order of start
 * @param outcomes outcomes that a replay must meet
 */
public record Trace(
        String name,
        long seed,
        int entries,
        List<TraceRequest> requests,
        List<TraceFault> faults,
        List<TraceOutcome> outcomes) {}
