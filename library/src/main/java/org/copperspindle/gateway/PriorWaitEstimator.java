package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates how long callers have already waited with earlier attempts. A request states only the caller's remaining
 * time; nothing else distinguishes a first attempt from a retry.
 */
final class PriorWaitEstimator {

    /**
     * A caller whose remaining time is below this fraction of the longest one on its route has tried before. The
     * value is just below the ratio of the shortest to the longest timeout of a route's callers: if that difference
     * counted as waiting, first attempts would look too late to be served in time.
     */
    private static final double RETRY_FRACTION = 0.735;

    private final Map<String, Long> longestByRoute = new HashMap<>();

    /**
     * Records the remaining time of a request and estimates the wait before it.
     *
     * @param route          name of its route
     * @param deadlineMillis caller's remaining time, if stated
     * @return milliseconds that the caller has waited before; 0 for a first attempt
     */
    long waitedMillis(String route, OptionalLong deadlineMillis) {
        if (deadlineMillis.isEmpty()) {
            return 0;
        }
        long remaining = deadlineMillis.getAsLong();
        long longest = longestByRoute.merge(route, remaining, Math::max);
        return remaining < longest * RETRY_FRACTION ? longest - remaining : 0;
    }
}
