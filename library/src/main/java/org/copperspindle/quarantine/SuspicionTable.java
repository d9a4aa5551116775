package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Suspicions known to this node. Bounded: only the termination of an upstream adds an entry, and when the table is
 * full, the least suspected entries are evicted, so that nobody can evict a quarantined suspect by sending many others.
 */
final class SuspicionTable {

    /**
     * Maximum number of entries; covers the requests of thirty full upstreams of 64 slots
     * that terminate within minutes, or those of ten with the parts of their prompts.
     */
    static final int MAX_ENTRIES = 2048;

    /** Entries evicted at a time, so that a flood of suspicions does not search the table for each of them. */
    private static final int EVICTED_AT_ONCE = MAX_ENTRIES / 16;

    private final Map<SuspectDigest, Entry> entries = new HashMap<>();

    /** Suspects that are quarantined or were, most often none; others are never restricted. */
    private final Set<SuspectDigest> restricted = new HashSet<>();

    boolean isEmpty() {
        return entries.isEmpty();
    }

    int size() {
        return entries.size();
    }

    /** Returns whether any suspect may be restricted. */
    boolean hasRestricted() {
        return !restricted.isEmpty();
    }

    /** Finds a suspicion, with its current age. */
    Optional<Suspicion> find(SuspectDigest digest, long now) {
        return Optional.ofNullable(entries.get(digest))
                .filter(entry -> !entry.isExpired(now))
                .map(entry -> entry.withCurrentAge(now));
    }

    /** Returns whether a request may be sent; software versions don't matter for it. */
    HoldState requestState(SuspectDigest digest, long now) {
        return findRestricted(digest, now)
                .filter(entry -> entry.isQuarantined(now) && !isExplained(entry, now))
                .map(entry -> HoldState.HELD)
                .orElse(HoldState.FREE);
    }

    /** Returns whether requests with a prompt part may be sent to an upstream of a software version. */
    HoldState partState(SuspectDigest digest, String software, long now) {
        return findRestricted(digest, now)
                .map(entry -> entry.stateAt(software, now))
                .orElse(HoldState.FREE);
    }

    /** Returns whether a suspect is quarantined at least at the software under which upstreams terminated. */
    boolean isQuarantined(SuspectDigest digest, long now) {
        return findRestricted(digest, now)
                .filter(entry -> entry.isQuarantined(now))
                .isPresent();
    }

    /** Merges a received suspicion; returns whether it changed anything. */
    boolean accept(Suspicion received, long now) {
        Optional<Suspicion> previous = find(received.digest(), now);
        Suspicion merged = previous.map(received::merge).orElse(received);
        if (previous.filter(merged::equalsIgnoringAge).isPresent()) {
            return false;
        }
        put(Entry.of(merged, now));
        if (entries.size() > MAX_ENTRIES) {
            evict(now);
        }
        return true;
    }

    /** Lists all suspicions, for a node that has just connected or lost messages. */
    List<Suspicion> all(long now) {
        removeExpired(now);
        return entries.values().stream().map(entry -> entry.withCurrentAge(now)).toList();
    }

    /** Lists the suspicions of quarantined suspects. */
    List<Suspicion> quarantined(long now) {
        return restricted.stream()
                .map(entries::get)
                .filter(entry -> entry.isQuarantined(now) && !isExplained(entry, now))
                .map(entry -> entry.withCurrentAge(now))
                .toList();
    }

    void removeExpired(long now) {
        entries.values().removeIf(entry -> entry.isExpired(now));
        restricted.retainAll(entries.keySet());
    }

    private Optional<Entry> findRestricted(SuspectDigest digest, long now) {
        if (!restricted.contains(digest)) {
            return Optional.empty();
        }
        return Optional.ofNullable(entries.get(digest)).filter(entry -> !entry.isExpired(now));
    }

    /** Returns whether a quarantined prompt part explains the terminations under a request. */
    private boolean isExplained(Entry entry, long now) {
        Suspicion suspicion = entry.suspicion();
        return !suspicion.isOfPromptPart()
                && restricted.stream()
                        .map(entries::get)
                        .anyMatch(other -> other.isQuarantined(now) && suspicion.isExplainedBy(other.suspicion()));
    }

    private void put(Entry entry) {
        SuspectDigest digest = entry.suspicion().digest();
        entries.put(digest, entry);
        if (entry.level() >= QuarantinePolicy.QUARANTINE_LEVEL) {
            restricted.add(digest);
        } else {
            restricted.remove(digest);
        }
    }

    private void evict(long now) {
        removeExpired(now);
        if (entries.size() <= MAX_ENTRIES) {
            return;
        }
        List<SuspectDigest> least = entries.entrySet().stream()
                .sorted(Comparator.comparingInt((Map.Entry<SuspectDigest, Entry> each) ->
                                each.getValue().level())
                        .thenComparingLong(each -> each.getValue().terminatedAt()))
                .limit(EVICTED_AT_ONCE)
                .map(Map.Entry::getKey)
                .toList();
        least.forEach(entries::remove);
        restricted.retainAll(entries.keySet());
    }

    /** A suspicion, and the time at which its last upstream terminated or it was cleared. */
    private record Entry(Suspicion suspicion, int level, long terminatedAt) {

        static Entry of(Suspicion suspicion, long now) {
            long age = Math.max(0, suspicion.ageMillis());
            return new Entry(
                    suspicion,
                    QuarantinePolicy.effectiveLevel(suspicion),
                    now - Duration.ofMillis(age).toNanos());
        }

        boolean isQuarantined(long now) {
            return now - terminatedAt < QuarantinePolicy.quarantineNanos(level);
        }

        /** Returns whether a prompt part may be sent to an upstream of a software version. */
        HoldState stateAt(String software, long now) {
            TerminationEvidence evidence = suspicion.evidence();
            if (evidence.terminated().contains(software)) {
                return isQuarantined(now) ? HoldState.HELD : HoldState.TRIAL;
            }
            return evidence.answered().contains(software) ? HoldState.FREE : HoldState.TRIAL;
        }

        boolean isExpired(long now) {
            return now - terminatedAt >= QuarantinePolicy.retentionNanos(level);
        }

        Suspicion withCurrentAge(long now) {
            return suspicion.withAge(Duration.ofNanos(now - terminatedAt).toMillis());
        }
    }
}
