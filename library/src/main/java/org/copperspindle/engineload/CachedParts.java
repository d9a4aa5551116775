package org.copperspindle.engineload;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * The shared prompt parts that this node has recently sent to engines, which have cached them. Bounded: the part that
 * was sent longest ago is dropped first.
 */
final class CachedParts {

    /** Some 100 bytes each; more than a node sends within the retention time. */
    private static final int MAX_PARTS = 4096;

    /** Engines evict parts that are not requested again; how long they keep them is not known to this node. */
    private static final long RETENTION_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<Key, Long> sentAt = new LinkedHashMap<>();

    void add(UpstreamRecord engine, String shared, long now) {
        Key key = new Key(engine.id(), engine.incarnation(), shared);
        sentAt.remove(key);
        sentAt.put(key, now);
        if (sentAt.size() > MAX_PARTS) {
            sentAt.remove(sentAt.keySet().iterator().next());
        }
    }

    boolean contains(UpstreamRecord engine, String shared, long now) {
        Long at = sentAt.get(new Key(engine.id(), engine.incarnation(), shared));
        return at != null && now - at < RETENTION_NANOS;
    }

    private record Key(String engine, long incarnation, String shared) {}
}
