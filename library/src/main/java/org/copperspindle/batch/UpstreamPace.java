package org.copperspindle.batch;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * What upstreams of stage pools state about the time that work takes them now.
 */
@FunctionalInterface
public interface UpstreamPace {

    /** Stated by upstreams that take as long as usual, and presumed of those that state nothing. */
    double USUAL = 1;

    /** Presumes of all upstreams that they take as long as usual. */
    UpstreamPace NONE = (upstream, now) -> USUAL;

    /**
     * Returns how long work takes an upstream now.
     *
     * @param upstream the upstream in its current incarnation
     * @param now      monotonic time in nanoseconds
     * @return multiple of the usual time; {@link #USUAL} if it has stated nothing lately
     */
    double factor(UpstreamRecord upstream, long now);
}
