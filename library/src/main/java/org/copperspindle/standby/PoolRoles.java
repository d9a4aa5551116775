package org.copperspindle.standby;

import java.util.Optional;

/**
 * The nodes that membership designates for one pool at present.
 *
 * @param dispatcher  name of the dispatcher
 * @param incarnation last known incarnation of the dispatcher's process, 0 if unknown
 * @param standby     name of the standby; empty if no other node serves
 */
record PoolRoles(String dispatcher, long incarnation, Optional<String> standby) {

    /** Returns the roles in a pool as this node sees them. */
    static PoolRoles of(String pool, DispatcherChoice choice) {
        String dispatcher = choice.dispatcherNode(pool);
        return new PoolRoles(dispatcher, choice.incarnation(dispatcher).orElse(0), choice.standbyNode(pool));
    }

    boolean isStandby(String node) {
        return standby.filter(node::equals).isPresent();
    }
}
