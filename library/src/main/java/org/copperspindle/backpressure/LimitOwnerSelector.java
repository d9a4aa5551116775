package org.copperspindle.backpressure;

import java.util.Optional;

/**
 * Selects the owner of each upstream's limit, the node that grants the permits. Nodes that see the same nodes select
 * the same owner.
 */
@FunctionalInterface
public interface LimitOwnerSelector {

    /**
     * Returns the owner of an upstream's limit.
     *
     * @param upstream id of the upstream
     * @return name of the node; empty if this node cannot know it and must not use the upstream
     */
    Optional<String> owner(String upstream);
}
