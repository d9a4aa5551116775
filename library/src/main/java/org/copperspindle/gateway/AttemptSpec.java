package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;

import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * One attempt of a request at one upstream.
 *
 * @param request         the request
 * @param upstream        the upstream; no other at its address may run it
 * @param remainingMillis time that is left for it
 * @param account         client account that holds the caller's key
 * @param inputs          handles of the stage results that it needs; empty if its route has no stages
 * @param resumeAfter     id of the last event that the caller has, if the stream goes on
 * @param rank            urgency, 0 first
 * @param connectionUse   on which connection it may go out
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
