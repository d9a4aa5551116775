package org.copperspindle.discovery;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Failure domains whose upstreams get nothing, and when others were used again.
 */
final class EvacuatedDomains {

    private final Map<String, Long> reopenedAt = new HashMap<>();
    private Set<String> names = Set.of();

    /**
     * Takes a new list.
     *
     * @param next names of all evacuated failure domains
     * @param now  monotonic time in nanoseconds
     * @return names of those that are evacuated or used again from now on
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
     * Says whether a failure domain was taken into use again a short while ago.
     *
     * @param name  its name
     * @param nanos how long ago at most
     * @param now   monotonic time in nanoseconds
     */
    boolean isReopened(String name, long nanos, long now) {
        Long at = reopenedAt.get(name);
        return at != null && now - at < nanos;
    }
}
