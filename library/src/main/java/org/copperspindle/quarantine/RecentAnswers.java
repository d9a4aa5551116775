package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Prompt parts of requests that upstreams completed for this node lately. Requests with a part that crashes upstreams
 * hold parts of other requests as well; those have been answered.
 */
final class RecentAnswers {

    /** Maximum number of entries; the oldest are dropped first. */
    static final int MAX_ENTRIES = 8192;

    /** How long a completed request speaks for its parts; requests with a shared part come more often. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(60).toNanos();

    /** In the order in which the answers were recorded. */
    private final Map<Key, Long> answeredAt = new LinkedHashMap<>();

    /** Records that an upstream completed a request with a prompt part. */
    void record(String pool, String software, String part, long now) {
        Key key = new Key(pool, software, part);
        answeredAt.remove(key);
        answeredAt.put(key, now);
        removeOld(now);
    }

    /** Returns whether upstreams of a software version completed a request with a prompt part lately. */
    boolean contains(String pool, String software, String part, long now) {
        Long at = answeredAt.get(new Key(pool, software, part));
        return at != null && now - at < WINDOW_NANOS;
    }

    /** Returns the software versions of upstreams that completed a request with a suspected part lately. */
    List<String> softwareThatAnswered(Suspicion suspicion, long now) {
        return answeredAt.entrySet().stream()
                .filter(entry -> now - entry.getValue() < WINDOW_NANOS)
                .map(Map.Entry::getKey)
                .filter(key -> key.isOf(suspicion))
                .map(Key::software)
                .toList();
    }

    int size() {
        return answeredAt.size();
    }

    private void removeOld(long now) {
        Iterator<Long> oldest = answeredAt.values().iterator();
        long at = oldest.next();
        while (now - at >= WINDOW_NANOS || answeredAt.size() > MAX_ENTRIES) {
            oldest.remove();
            at = oldest.next();
        }
    }

    private record Key(String pool, String software, String part) {

        private boolean isOf(Suspicion suspicion) {
            return Suspect.mayHaveLabel(part, suspicion.part())
                    && SuspectDigest.ofPromptPart(pool, part).equals(suspicion.digest());
        }
    }
}
