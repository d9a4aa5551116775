package org.copperspindle.discovery;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Which software versions the upstreams of each pool ran, and when this node learned of them and last heard of them. It
 * remembers versions whose upstreams have left: streams that they began are still held by callers.
 */
final class SoftwareHistory {

    /** How long a version is remembered after it was last heard of: longer than any stream lasts. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    /** Versions of one pool; an upstream that announces another one each time must not fill the memory. */
    private static final int MAX_VERSIONS = 100;

    private final Map<String, Map<SoftwareVersion, Seen>> byPool = new HashMap<>();

    /**
     * Records that an upstream with some software was heard of.
     *
     * @param upstream the upstream
     * @param heardAt  when it was heard, monotonic time in nanoseconds
     * @param now      monotonic time in nanoseconds
     * @return true if the version is new here
     */
    boolean record(UpstreamRecord upstream, long heardAt, long now) {
        Map<SoftwareVersion, Seen> versions = byPool.computeIfAbsent(upstream.pool(), pool -> new HashMap<>());
        Seen before = versions.get(upstream.software());
        if (before == null && versions.size() >= MAX_VERSIONS) {
            return false;
        }
        Seen seen =
                before == null ? new Seen(now, heardAt) : new Seen(before.first(), Math.max(before.last(), heardAt));
        versions.put(upstream.software(), seen);
        return before == null;
    }

    /** Returns the versions of a pool that were heard of since a time. */
    Set<SoftwareVersion> heardSince(String pool, long from) {
        Set<SoftwareVersion> heard = new HashSet<>();
        byPool.getOrDefault(pool, Map.of()).forEach((version, seen) -> {
            if (seen.last() - from >= 0) {
                heard.add(version);
            }
        });
        return heard;
    }

    /** Returns when this node learned of a version of a pool; empty if it does not know the version. */
    OptionalLong learnedAt(String pool, SoftwareVersion version) {
        Seen seen = byPool.getOrDefault(pool, Map.of()).get(version);
        return seen == null ? OptionalLong.empty() : OptionalLong.of(seen.first());
    }

    void removeExpired(long now) {
        byPool.values().forEach(versions -> versions.values().removeIf(seen -> now - seen.last() > RETENTION_NANOS));
        byPool.values().removeIf(Map::isEmpty);
    }

    /** When this node learned of a version, and when it was last heard of. */
    private record Seen(long first, long last) {}
}
