package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The kinds of requests that this node is asked for now, each with its newest request as an example of what the next one will
 * need.
 */
final class UrgentKinds {

    /** A kind that has not been asked for in this time needs no room: nodes get one of each kind every second or two. */
    private static final long RECENT_NANOS = Duration.ofSeconds(5).toNanos();

    private final Map<String, AdmittedRequest> newest = new HashMap<>();

    /** Notes a request that has just come. */
    void asked(AdmittedRequest request) {
        newest.put(request.route().name(), request);
    }

    /**
     * Returns an example of each kind that is more urgent than a request by the ranks of their routes. The rank of an account
     * does not count here: the few requests of a preferred account, which come now and then, would keep room free all
     * the time, and requests of the most urgent kind would be refused for them.
     *
     * @param request the request
     * @param now     monotonic time in nanoseconds
     */
    List<AdmittedRequest> before(AdmittedRequest request, long now) {
        newest.values().removeIf(other -> now - other.times().beganAt() > RECENT_NANOS);
        return newest.values().stream()
                .filter(other -> other.route().priority() < request.route().priority())
                .toList();
    }
}
