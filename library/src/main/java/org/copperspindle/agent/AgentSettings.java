package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/**
 * Settings of the agent role of a process.
 *
 * @param upstreamId      identity of its upstream
 * @param pool            pool of its upstream
 * @param failureDomain   failure domain of its VM
 * @param upstream        address of its upstream
 * @param models          models that the upstream serves at start
 * @param renewInterval   interval of lease renewals
 * @param healthPath      path of the upstream's health check, empty if it has none
 * @param healthInterval  interval of health checks
 * @param reportInterval  time between two load reports to an entry while the load changes
 * @param refusalStatuses HTTP statuses that mean that the upstream did not run a call
 * @param limits          limits of the agent
 */
public record AgentSettings(
        String upstreamId,
        String pool,
        String failureDomain,
        InetSocketAddress upstream,
        List<String> models,
        Duration renewInterval,
        String healthPath,
        Duration healthInterval,
        Duration reportInterval,
        Set<Integer> refusalStatuses,
        AgentLimits limits) {

    /** Default interval of health checks. */
    public static final Duration DEFAULT_HEALTH_INTERVAL = Duration.ofSeconds(1);

    /** Default interval of load reports. */
    public static final Duration DEFAULT_REPORT_INTERVAL = Duration.ofSeconds(2);

    /**
     * Creates settings with the defaults.
     *
     * @param upstreamId    identity of its upstream
     * @param pool          pool of its upstream
     * @param failureDomain failure domain of its VM
     * @param upstream      address of its upstream
     * @param models        models that the upstream serves at start
     * @param renewInterval interval of lease renewals
     */
    public AgentSettings(
            String upstreamId,
            String pool,
            String failureDomain,
            InetSocketAddress upstream,
            List<String> models,
            Duration renewInterval) {
        this(
                upstreamId,
                pool,
                failureDomain,
                upstream,
                models,
                renewInterval,
                "",
                DEFAULT_HEALTH_INTERVAL,
                DEFAULT_REPORT_INTERVAL,
                Set.of(),
                AgentLimits.DEFAULT);
    }
}
