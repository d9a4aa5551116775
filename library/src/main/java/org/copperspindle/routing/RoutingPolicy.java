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
     * @param candidates upstreams of the pool, including draining ones
     * @param request    requirements of the attempt
     * @return the choice, empty if no upstream may be used now
     */
    Optional<UpstreamView> choose(List<UpstreamView> candidates, RoutingRequest request);
}
