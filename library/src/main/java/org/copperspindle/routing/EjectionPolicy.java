package org.copperspindle.routing;

import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides when an entry ejects a failing upstream. At most half of a pool is ejected: without this limit, a pool that
 * is slow as a whole would be reduced to a few upstreams that receive all work and fail next, until the pool is
 * empty. The remaining half fails no faster than before.
 */
public final class EjectionPolicy {

    /** Share of a pool that may be ejected at the same time. */
    public static final double MAX_SHARE = 0.5;

    private static final Logger LOGGER = LogManager.getLogger(EjectionPolicy.class);

    private EjectionPolicy() {}

    /**
     * Records a failure, and ejects the upstream if it has failed often enough and the limit of the pool allows it.
     *
     * @param view the upstream
     * @param pool all upstreams of its pool
     * @param now  monotonic time in nanoseconds
     * @return true if it was ejected
     */
    public static boolean failed(UpstreamView view, List<UpstreamView> pool, long now) {
        UpstreamHealth health = view.health();
        if (health.ejected(now)) {
            return false;
        }
        health.failed();
        if (!health.failing()) {
            return false;
        }
        int ejected = 1;
        for (UpstreamView other : pool) {
            if (other.health().ejected(now)) {
                ejected++;
            }
        }
        if (ejected > pool.size() * MAX_SHARE) {
            return false;
        }
        health.eject(now);
        LOGGER.info("event=upstream-ejected upstream={}", view.announcement().upstreamId());
        return true;
    }
}
