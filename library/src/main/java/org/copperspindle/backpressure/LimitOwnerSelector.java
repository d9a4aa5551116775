package org.copperspindle.backpressure;

import java.util.Optional;

/**
 * Chooses for each upstream the node that gives out its permits. All nodes that see the same nodes choose alike.
 */
@FunctionalInterface
public interface LimitOwnerSelector {

    /**
     * Chooses the keeper of an upstream.
     *
     * @param upstream id of the upstream
     * @return name of the node; empty if this node can't know it, and has to do without the upstream
     */
    Optional<String> owner(String upstream);
}
