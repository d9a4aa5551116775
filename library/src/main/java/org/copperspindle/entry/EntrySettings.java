package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.copperspindle.http.HttpLimits;

/**
 * Settings of the entry role of a process.
 *
 * @param listen        address for callers
 * @param failureDomain failure domain of its VM
 * @param renewInterval interval of lease renewals
 * @param maxInProgress most requests in progress at once
 * @param stopDelay     time between turning readiness off and refusing new work, in which the load balancer notices
 * @param limits        limits on callers' connections and requests
 */
public record EntrySettings(
        InetSocketAddress listen,
        String failureDomain,
        Duration renewInterval,
        int maxInProgress,
        Duration stopDelay,
        HttpLimits limits) {

    /**
     * Creates settings with the default limits except for the body.
     *
     * @param listen        address for callers
     * @param failureDomain failure domain of its VM
     * @param renewInterval interval of lease renewals
     * @param maxInProgress most requests in progress at once
     * @param maxBodyBytes  longest body of a request
     * @param stopDelay     time between readiness off and refusing new work
     */
    public EntrySettings(
            InetSocketAddress listen,
            String failureDomain,
            Duration renewInterval,
            int maxInProgress,
            int maxBodyBytes,
            Duration stopDelay) {
        this(
                listen,
                failureDomain,
                renewInterval,
                maxInProgress,
                stopDelay,
                HttpLimits.DEFAULT.withMaxBody(maxBodyBytes));
    }
}
