package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Estimates how long callers have waited with earlier attempts. A caller names the time that it has left, and nothing else
 * tells a first attempt from a later one.
 */
final class PriorWaitEstimator {

    /**
     * A caller with less than this part of the longest time that any caller of its route has named was here before: the
     * quotient of the least and the most patient caller of a route, and a little less. Taken for waiting, their
     * difference would make first attempts look too late to be served in time.
     */
    private static final double RETURNED_PART = 0.735;

    private final Map<String, Long> longest = new HashMap<>();

    /**
     * Takes note of a request.
     *
     * @param route          name of its route
     * @param deadlineMillis how long its caller still waits, if it says so
     * @return milliseconds that the caller has waited before; 0 for a first attempt
     */
    long waitedMillis(String route, OptionalLong deadlineMillis) {
        if (deadlineMillis.isEmpty()) {
            return 0;
        }
        long left = deadlineMillis.getAsLong();
        long most = longest.merge(route, left, Math::max);
        return left < most * RETURNED_PART ? most - left : 0;
    }
}
