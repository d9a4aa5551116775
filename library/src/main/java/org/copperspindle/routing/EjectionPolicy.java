package org.copperspindle.routing;

import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Decides when an entry keeps away from an upstream that fails. Safeguard: ejecting by failures alone would, when a
 * whole pool is slow, send all work to the few that are left, and those would fail next; the symptom is a pool that
 * empties itself. Never ejecting more than half of a pool is enough, because the rest then fails no faster than before.
 */
public final class EjectionPolicy {

    /** Share of a pool that may be ejected at once. */
    public static final double MAX_SHARE = 0.5;

    private static final Logger LOGGER = LogManager.getLogger(EjectionPolicy.class);

    private EjectionPolicy() {}

    /**
     * Notes a failure and ejects the upstream if it failed often enough and the pool's floor allows it.
     *
     * @param view the upstream
     * @param pool all upstreams of its pool
     * @param now  nanoseconds of the timer service
     * @return whether it was ejected
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
