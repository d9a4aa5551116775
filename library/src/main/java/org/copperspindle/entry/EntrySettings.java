package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.copperspindle.http.HttpLimits;

/**
 * Settings of the entry role of a process.
 *
 * @param listen        address for callers
 * @param failureDomain failure domain of its VM
 * @param renew         interval of lease renewals
 * @param maxInProgress requests in progress at once
 * @param stopDelay     time between readiness off and refusing new work, for the platform's balancer to notice
 * @param limits        bounds on callers' connections and requests
 */
public record EntrySettings(
        InetSocketAddress listen,
        String failureDomain,
        Duration renew,
        int maxInProgress,
        Duration stopDelay,
        HttpLimits limits) {

    /**
     * Makes settings with the usual limits but for the body.
     *
     * @param listen        address for callers
     * @param failureDomain failure domain of its VM
     * @param renew         interval of lease renewals
     * @param maxInProgress requests in progress at once
     * @param maxBodyBytes  longest body of a request
     * @param stopDelay     time between readiness off and refusing new work
     */
    public EntrySettings(
            InetSocketAddress listen,
            String failureDomain,
            Duration renew,
            int maxInProgress,
            int maxBodyBytes,
            Duration stopDelay) {
        this(listen, failureDomain, renew, maxInProgress, stopDelay, HttpLimits.DEFAULT.withMaxBody(maxBodyBytes));
    }
}
