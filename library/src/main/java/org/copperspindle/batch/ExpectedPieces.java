package org.copperspindle.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the pieces that requests in earlier stages will send to a pool. While a burst is still in the stage before,
 * the queue of the pool is short, and the admission of new requests must take these pieces into account. The count
 * covers all nodes: with 24 nodes, the requests of one node say so little about the others that half of the requests
 * that could have been on time were deferred.
 */
final class ExpectedPieces {

    /**
     * Age after which a node's count is dropped. Nodes repeat their counts after a third of this time; one that is
     * silent for longer is gone.
     */
    private static final long MAX_AGE_NANOS = Duration.ofMillis(1500).toNanos();

    private final Map<String, Long> own = new HashMap<>();
    private final Map<String, Long> sent = new HashMap<>();
    private final Map<String, Map<String, Update>> received = new HashMap<>();

    /**
     * Adds pieces that a request of this node will send; a negative count removes pieces that it has sent or will
     * never send.
     */
    void add(String pool, long pieces) {
        own.merge(pool, pieces, Long::sum);
    }

    /** Returns the change of this node's count since it was last sent to others. */
    long unsent(String pool) {
        return own.getOrDefault(pool, 0L) - sent.getOrDefault(pool, 0L);
    }

    /** Returns the counts to send: those that have changed, or all that are above zero as well. */
    Map<String, Long> takeUpdates(boolean all) {
        Map<String, Long> updates = new HashMap<>();
        own.forEach((pool, pieces) -> {
            if (!pieces.equals(sent.getOrDefault(pool, 0L)) || all && pieces > 0) {
                updates.put(pool, pieces);
            }
        });
        sent.putAll(updates);
        own.values().removeIf(pieces -> pieces == 0);
        return updates;
    }

    void onUpdate(String node, String pool, long pieces, long now) {
        received.computeIfAbsent(pool, p -> new HashMap<>()).put(node, new Update(pieces, now));
    }

    void forget(String node) {
        received.values().forEach(nodes -> nodes.remove(node));
    }

    /** Returns the sum of the counts that all nodes have sent for a pool. */
    long total(String pool, long now) {
        Map<String, Update> nodes = received.getOrDefault(pool, Map.of());
        nodes.values().removeIf(u -> now - u.receivedAt() > MAX_AGE_NANOS);
        return nodes.values().stream().mapToLong(Update::pieces).sum();
    }

    private record Update(long pieces, long receivedAt) {}
}
