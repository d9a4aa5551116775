package org.copperspindle.standby;

import java.util.HashMap;
import java.util.Map;

/**
 * The roles in the pools and the reachability of standbys, as of the last change of membership. A choice compares all
 * nodes, which is too slow for every message and every check on a node with a fraction of a core.
 */
final class RolesCache {

    private final DispatcherChoice choice;
    private final Map<String, PoolRoles> roles = new HashMap<>();
    private final Map<String, Boolean> reachable = new HashMap<>();

    RolesCache(DispatcherChoice choice) {
        this.choice = choice;
    }

    /** Returns the roles in a pool. */
    PoolRoles of(String pool) {
        return roles.computeIfAbsent(pool, name -> PoolRoles.of(name, choice));
    }

    /** Returns whether another node can be reached directly or through a third one. */
    boolean canReach(String node) {
        return reachable.computeIfAbsent(node, choice::canReach);
    }

    /** Forgets which nodes can be reached. */
    void clearReachability() {
        reachable.clear();
    }

    /** Forgets everything, so that the next question is answered by the present membership. */
    void clear() {
        roles.clear();
        reachable.clear();
    }
}
