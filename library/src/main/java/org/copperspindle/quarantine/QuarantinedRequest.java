package org.copperspindle.quarantine;

import java.util.List;

/**
 * A request that is held off, as operators see it.
 *
 * @param digest          names it
 * @param route           its route
 * @param account         its client account, empty for callers without one
 * @param upstreams       upstreams that ended under it, some of them
 * @param sinceMillis     how long ago the last of them ended
 * @param remainingMillis how much longer it is held off
 */
public record QuarantinedRequest(
        String digest, String route, String account, List<String> upstreams, long sinceMillis, long remainingMillis) {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    static QuarantinedRequest of(Suspicion suspicion) {
        long hold = HoldPolicy.holdNanos(suspicion.level()) / NANOS_PER_MILLI;
        return new QuarantinedRequest(
                suspicion.digest().text(),
                suspicion.route(),
                suspicion.account(),
                suspicion.upstreams(),
                suspicion.ageMillis(),
                hold - suspicion.ageMillis());
    }
}
