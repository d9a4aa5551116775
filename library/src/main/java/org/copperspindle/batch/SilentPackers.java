package org.copperspindle.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Nodes that pack calls for this one and have stopped to talk. Their connections are still open, and it takes a while until they are
 * found dead; requests whose objective is a second or two can't wait for that, nor for other nodes to notice as well.
 */
final class SilentPackers {

    /**
     * A packer tells its loads twice and more in this time, whether it has work or not. Shorter, two lost packets in a row would have
     * its groups made twice.
     */
    private static final long SILENCE_NANOS = Duration.ofMillis(900).toNanos();

    private final Map<String, Long> heardAt = new HashMap<>();
    private final Set<String> silent = new HashSet<>();

    /** Notes a message of a node. */
    void heard(String node, long now) {
        heardAt.put(node, now);
        silent.remove(node);
    }

    /**
     * Judges a node that has groups of this one.
     *
     * @param node      the node
     * @param waitsFrom when the oldest of these groups was sent
     * @param now       monotonic time in nanoseconds
     * @return true if it is silent, and was not before
     */
    boolean fallsSilent(String node, long waitsFrom, long now) {
        long since = Math.max(waitsFrom, heardAt.getOrDefault(node, Long.MIN_VALUE));
        return now - since >= SILENCE_NANOS && silent.add(node);
    }

    boolean isSilent(String node) {
        return silent.contains(node);
    }

    /** Forgets a node whose connections have ended; others are asked about it from now on. */
    void forget(String node) {
        heardAt.remove(node);
        silent.remove(node);
    }
}
