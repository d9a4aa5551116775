package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the agent role of a process.
 *
 * @param upstreamId    identity of its upstream
 * @param pool          pool of its upstream
 * @param failureDomain failure domain of its VM
 * @param upstream      address of its upstream
 * @param models        models that the upstream serves at start
 * @param renew         interval of lease renewals
 */
public record AgentSettings(
        String upstreamId,
        String pool,
        String failureDomain,
        InetSocketAddress upstream,
        List<String> models,
        Duration renew) {}
