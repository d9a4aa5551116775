package org.copperspindle.quarantine;

import java.util.List;

/**
 * A quarantined request, as shown to operators.
 *
 * @param digest          identifies the request
 * @param route           its route
 * @param account         its client account, empty for callers without one
 * @param upstreams       some of the upstreams that terminated while running it
 * @param sinceMillis     time since the last of them terminated
 * @param remainingMillis remaining quarantine time
 */
public record QuarantinedRequest(
        String digest, String route, String account, List<String> upstreams, long sinceMillis, long remainingMillis) {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    static QuarantinedRequest of(Suspicion suspicion) {
        long quarantineMillis = QuarantinePolicy.quarantineNanos(suspicion.level()) / NANOS_PER_MILLI;
        return new QuarantinedRequest(
                suspicion.digest().text(),
                suspicion.route(),
                suspicion.account(),
                suspicion.upstreams(),
                suspicion.ageMillis(),
                quarantineMillis - suspicion.ageMillis());
    }
}
