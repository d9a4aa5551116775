package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;

import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * What the dialect needs to write one attempt of a request to one upstream.
 *
 * @param request         the request
 * @param upstream        target upstream; another upstream at the same address must not run it
 * @param remainingMillis time left until the deadline of the request
 * @param account         client account that owns the caller's key
 * @param inputs          handles of the stage results that it needs; empty if its route has no stages
 * @param resumeAfter     id of the last event that the caller received, if the attempt resumes a stream
 * @param rank            scheduling rank, 0 is the most urgent
 * @param connectionUse   whether a kept connection may be used
 */
public record AttemptSpec(
        GatewayRequest request,
        UpstreamRecord upstream,
        long remainingMillis,
        Optional<String> account,
        Optional<List<String>> inputs,
        Optional<String> resumeAfter,
        int rank,
        ConnectionUse connectionUse) {}
