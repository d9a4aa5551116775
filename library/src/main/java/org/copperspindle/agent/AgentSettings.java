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
 * @param renew           interval of lease renewals
 * @param healthPath      path that tells whether the upstream takes work, empty if it has none
 * @param healthInterval  time between two looks at the upstream
 * @param reportInterval  time between two load reports to an entry while the load changes
 * @param refusalStatuses statuses by which the upstream says that it did not run a call
 * @param limits          what it allows and keeps
 */
public record AgentSettings(
        String upstreamId,
        String pool,
        String failureDomain,
        InetSocketAddress upstream,
        List<String> models,
        Duration renew,
        String healthPath,
        Duration healthInterval,
        Duration reportInterval,
        Set<Integer> refusalStatuses,
        AgentLimits limits) {

    /** Time between two looks at the upstream, unless set. */
    public static final Duration DEFAULT_HEALTH_INTERVAL = Duration.ofSeconds(1);

    /** Time between two load reports, unless set. */
    public static final Duration DEFAULT_REPORT_INTERVAL = Duration.ofSeconds(2);

    /**
     * Creates settings with the defaults.
     *
     * @param upstreamId    identity of its upstream
     * @param pool          pool of its upstream
     * @param failureDomain failure domain of its VM
     * @param upstream      address of its upstream
     * @param models        models that the upstream serves at start
     * @param renew         interval of lease renewals
     */
    public AgentSettings(
            String upstreamId,
            String pool,
            String failureDomain,
            InetSocketAddress upstream,
            List<String> models,
            Duration renew) {
        this(
                upstreamId,
                pool,
                failureDomain,
                upstream,
                models,
                renew,
                "",
                DEFAULT_HEALTH_INTERVAL,
                DEFAULT_REPORT_INTERVAL,
                Set.of(),
                AgentLimits.DEFAULT);
    }
}
