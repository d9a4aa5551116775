package org.copperspindle.batch;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The groups of other nodes that were cancelled last. A cancellation may arrive before its group if the two nodes lose or regain
 * their connection in between, since one of the messages then goes through a third node. A cancelled group is never sent again.
 */
final class CancelledGroups {

    /** Groups that are remembered; older cancellations have arrived after their groups, or these have expired. */
    static final int MAX_GROUPS = 4096;

    private final Map<Key, Boolean> groups = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Boolean> eldest) {
            return size() > MAX_GROUPS;
        }
    };

    /** Records that a node has cancelled a group. */
    void add(String origin, long id) {
        groups.put(new Key(origin, id), true);
    }

    /** Returns whether a node has cancelled a group. */
    boolean contains(String origin, long id) {
        return groups.containsKey(new Key(origin, id));
    }

    private record Key(String origin, long id) {}
}
