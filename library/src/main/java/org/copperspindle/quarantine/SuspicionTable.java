package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What this node thinks of requests under which upstreams ended. Bounded: only the end of an upstream enters something, and
 * when the table is full, what is least suspected makes room, so that nobody pushes a request that is held off out of it by
 * sending many others.
 */
final class SuspicionTable {

    /** Some 200 bytes each; the requests of thirty full upstreams of 64 slots that end within minutes. */
    static final int MAX_REQUESTS = 2048;

    private final Map<RequestDigest, Entry> entries = new HashMap<>();

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    /** Finds what is thought of a request, with its age now. */
    Optional<Suspicion> find(RequestDigest digest, long now) {
        return Optional.ofNullable(entries.get(digest))
                .filter(entry -> !entry.isOver(now))
                .map(entry -> entry.told(now));
    }

    /** Says whether a request is held off. */
    boolean isQuarantined(RequestDigest digest, long now) {
        Entry entry = entries.get(digest);
        return entry != null && entry.isQuarantined(now);
    }

    /** Merges what is heard; returns whether it says anything new. */
    boolean accept(Suspicion heard, long now) {
        Optional<Suspicion> before = find(heard.digest(), now);
        Suspicion merged = before.map(heard::merge).orElse(heard);
        if (before.filter(merged::saysSame).isPresent()) {
            return false;
        }
        entries.put(heard.digest(), Entry.of(merged, now));
        if (entries.size() > MAX_REQUESTS) {
            makeRoom(now);
        }
        return true;
    }

    /** Lists all that is known, for a node that knows nothing or missed some of it. */
    List<Suspicion> all(long now) {
        forgetOld(now);
        return entries.values().stream().map(entry -> entry.told(now)).toList();
    }

    /** Lists what is held off. */
    List<Suspicion> held(long now) {
        return entries.values().stream()
                .filter(entry -> entry.isQuarantined(now))
                .map(entry -> entry.told(now))
                .toList();
    }

    void forgetOld(long now) {
        entries.values().removeIf(entry -> entry.isOver(now));
    }

    private void makeRoom(long now) {
        forgetOld(now);
        if (entries.size() > MAX_REQUESTS) {
            entries.entrySet().stream()
                    .min(Comparator.comparingInt((Map.Entry<RequestDigest, Entry> each) ->
                                    each.getValue().suspicion().level())
                            .thenComparingLong(each -> each.getValue().at()))
                    .map(Map.Entry::getKey)
                    .ifPresent(entries::remove);
        }
    }

    /** A suspicion, and when its last upstream ended. */
    private record Entry(Suspicion suspicion, long at) {

        static Entry of(Suspicion suspicion, long now) {
            long age = Math.max(0, suspicion.ageMillis());
            return new Entry(suspicion, now - Duration.ofMillis(age).toNanos());
        }

        boolean isQuarantined(long now) {
            return HoldPolicy.isQuarantined(suspicion.level(), now - at);
        }

        boolean isOver(long now) {
            return now - at >= HoldPolicy.keepNanos(suspicion.level());
        }

        Suspicion told(long now) {
            return suspicion.withAge(Duration.ofNanos(now - at).toMillis());
        }
    }
}
