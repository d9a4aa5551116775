package org.copperspindle.routing;

import java.util.List;
import java.util.Optional;

/**
 * Chooses an upstream for one attempt.
 */
public interface RoutingPolicy {

    /**
     * Chooses an upstream.
     *
     * @param candidates upstreams of the pool, draining ones included
     * @param request    what is needed
     * @return the choice, empty if none may be used now
     */
    Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request);
}
