package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Suspicions known to this node. Bounded: only the termination of an upstream adds an entry, and when the table is
 * full, the least suspected entry is evicted, so that nobody can evict a quarantined request by sending many others.
 */
final class SuspicionTable {

    /**
     * Maximum number of entries of about 200 bytes each; covers the requests of thirty full upstreams of 64 slots
     * that terminate within minutes.
     */
    static final int MAX_REQUESTS = 2048;

    private final Map<RequestDigest, Entry> entries = new HashMap<>();

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    /** Finds the suspicion of a request, with its current age. */
    Optional<Suspicion> find(RequestDigest digest, long now) {
        return Optional.ofNullable(entries.get(digest))
                .filter(entry -> !entry.isExpired(now))
                .map(entry -> entry.withCurrentAge(now));
    }

    /** Returns whether a request is quarantined. */
    boolean isQuarantined(RequestDigest digest, long now) {
        Entry entry = entries.get(digest);
        return entry != null && entry.isQuarantined(now);
    }

    /** Merges a received suspicion; returns whether it changed anything. */
    boolean accept(Suspicion received, long now) {
        Optional<Suspicion> previous = find(received.digest(), now);
        Suspicion merged = previous.map(received::merge).orElse(received);
        if (previous.filter(merged::equalsIgnoringAge).isPresent()) {
            return false;
        }
        entries.put(received.digest(), Entry.of(merged, now));
        if (entries.size() > MAX_REQUESTS) {
            evict(now);
        }
        return true;
    }

    /** Lists all suspicions, for a node that has just connected or lost messages. */
    List<Suspicion> all(long now) {
        removeExpired(now);
        return entries.values().stream().map(entry -> entry.withCurrentAge(now)).toList();
    }

    /** Lists the suspicions of quarantined requests. */
    List<Suspicion> quarantined(long now) {
        return entries.values().stream()
                .filter(entry -> entry.isQuarantined(now))
                .map(entry -> entry.withCurrentAge(now))
                .toList();
    }

    void removeExpired(long now) {
        entries.values().removeIf(entry -> entry.isExpired(now));
    }

    private void evict(long now) {
        removeExpired(now);
        if (entries.size() > MAX_REQUESTS) {
            entries.entrySet().stream()
                    .min(Comparator.comparingInt((Map.Entry<RequestDigest, Entry> each) ->
                                    each.getValue().suspicion().level())
                            .thenComparingLong(each -> each.getValue().terminatedAt()))
                    .map(Map.Entry::getKey)
                    .ifPresent(entries::remove);
        }
    }

    /** A suspicion, and the time at which its last upstream terminated or it was cleared. */
    private record Entry(Suspicion suspicion, long terminatedAt) {

        static Entry of(Suspicion suspicion, long now) {
            long age = Math.max(0, suspicion.ageMillis());
            return new Entry(suspicion, now - Duration.ofMillis(age).toNanos());
        }

        boolean isQuarantined(long now) {
            return QuarantinePolicy.isQuarantined(suspicion.level(), now - terminatedAt);
        }

        boolean isExpired(long now) {
            return now - terminatedAt >= QuarantinePolicy.retentionNanos(suspicion.level());
        }

        Suspicion withCurrentAge(long now) {
            return suspicion.withAge(Duration.ofNanos(now - terminatedAt).toMillis());
        }
    }
}
