package org.copperspindle.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Pieces that requests in earlier stages will send to a pool. The queue of a pool is still short while a burst is in the
 * stage before it; a request that comes then must know of them. Counted over all nodes: what one of 24 nodes has under way
 * says so little of the others that half of the requests which could be on time were held back.
 */
final class ExpectedPieces {

    /** A node tells its promises again after a third of this; one that is silent for so long has ended. */
    private static final long AGE_NANOS = Duration.ofMillis(1500).toNanos();

    private final Map<String, Long> own = new HashMap<>();
    private final Map<String, Long> told = new HashMap<>();
    private final Map<String, Map<String, Heard>> heard = new HashMap<>();

    /** Counts pieces that a request of this node will send, or, below zero, that it has sent or never will. */
    void add(String pool, long pieces) {
        own.merge(pool, pieces, Long::sum);
    }

    /** Returns what this node has promised since it last told so. */
    long untold(String pool) {
        return own.getOrDefault(pool, 0L) - told.getOrDefault(pool, 0L);
    }

    /** Returns the promises to tell: those that have changed, or all that there are. */
    Map<String, Long> tell(boolean all) {
        Map<String, Long> news = new HashMap<>();
        own.forEach((pool, pieces) -> {
            if (!pieces.equals(told.getOrDefault(pool, 0L)) || all && pieces > 0) {
                news.put(pool, pieces);
            }
        });
        told.putAll(news);
        own.values().removeIf(pieces -> pieces == 0);
        return news;
    }

    void heard(String node, String pool, long pieces, long now) {
        heard.computeIfAbsent(pool, p -> new HashMap<>()).put(node, new Heard(pieces, now));
    }

    void forget(String node) {
        heard.values().forEach(nodes -> nodes.remove(node));
    }

    /** Returns what all nodes have told of a pool. */
    long total(String pool, long now) {
        Map<String, Heard> nodes = heard.getOrDefault(pool, Map.of());
        nodes.values().removeIf(h -> now - h.at() > AGE_NANOS);
        return nodes.values().stream().mapToLong(Heard::pieces).sum();
    }

    private record Heard(long pieces, long at) {}
}
