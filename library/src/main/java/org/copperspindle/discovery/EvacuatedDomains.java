package org.copperspindle.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The evacuated failure domains, and the time at which formerly evacuated ones were reopened.
 */
final class EvacuatedDomains {

    private final Map<String, Long> reopenedAt = new HashMap<>();
    private Set<String> names = Set.of();

    /**
     * Replaces the set of evacuated failure domains.
     *
     * @param next names of all evacuated failure domains
     * @param now  monotonic time in nanoseconds
     * @return names of the failure domains that are newly evacuated or reopened
     */
    Set<String> replace(Set<String> next, long now) {
        Set<String> changed = new HashSet<>(names);
        changed.addAll(next);
        changed.removeIf(name -> names.contains(name) && next.contains(name));
        changed.stream().filter(names::contains).forEach(name -> reopenedAt.put(name, now));
        names = Set.copyOf(next);
        return changed;
    }

    boolean contains(String name) {
        return names.contains(name);
    }

    /**
     * Returns whether a failure domain was reopened within a given time.
     *
     * @param name        its name
     * @param windowNanos maximum time since the reopening, in nanoseconds
     * @param now         monotonic time in nanoseconds
     */
    boolean isReopened(String name, long windowNanos, long now) {
        Long at = reopenedAt.get(name);
        return at != null && now - at < windowNanos;
    }
}
