package org.copperspindle.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The request kinds that this node has recently received, each with its newest request as a sample of the next one.
 */
final class UrgentRequestKinds {

    /**
     * Capacity is kept only for kinds that were requested within this time: a node gets one request of each kind
     * every second or two.
     */
    private static final long RECENT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<String, StagedRequest> newestByRoute = new HashMap<>();

    /** Records a request that has just arrived. */
    void observe(StagedRequest request) {
        newestByRoute.put(request.route().name(), request);
    }

    /**
     * Returns a sample of each kind that is more urgent than a request by the ranks of their routes. The rank of the
     * account does not count here: the few and irregular requests of a preferred account would keep capacity free all
     * the time, and requests of the most urgent kind would be refused for them.
     *
     * @param request the request
     * @param now     monotonic time in nanoseconds
     */
    List<StagedRequest> moreUrgentThan(StagedRequest request, long now) {
        newestByRoute.values().removeIf(other -> now - other.admittedAt() > RECENT_NANOS);
        return newestByRoute.values().stream()
                .filter(other -> other.route().priority() < request.route().priority())
                .toList();
    }
}
