package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Prompt parts of requests that upstreams completed for this node lately. Requests with a part that crashes upstreams
 * hold parts of other requests as well; those have been answered.
 */
final class RecentAnswers {

    /** Maximum number of entries of about 120 bytes each. */
    static final int MAX_ENTRIES = 8192;

    /** How long a completed request speaks for its parts; requests with a shared part come more often. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<Key, Long> answeredAt = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, Long> eldest) {
            return size() > MAX_ENTRIES;
        }
    };

    /** Records that an upstream completed a request with a prompt part. */
    void record(String pool, String software, String part, long now) {
        Key key = new Key(pool, software, part);
        // Moves the entry to the end: the map evicts the one that was recorded first.
        answeredAt.remove(key);
        answeredAt.put(key, now);
    }

    /** Returns whether upstreams of a software version completed a request with a prompt part lately. */
    boolean contains(String pool, String software, String part, long now) {
        Long at = answeredAt.get(new Key(pool, software, part));
        return at != null && now - at < WINDOW_NANOS;
    }

    int size() {
        return answeredAt.size();
    }

    private record Key(String pool, String software, String part) {}
}
