package org.copperspindle.agent;

import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.Priority;

/**
 * Attempts that wait for the upstream: by priority, then by age.
 */
final class AttemptQueue {

    private final Set<AttemptRecord>[] byPriority;
    private int size;

    @SuppressWarnings("unchecked")
    AttemptQueue() {
        byPriority = new Set[Priority.values().length];
        for (int i = 0; i < byPriority.length; i++) {
            byPriority[i] = new LinkedHashSet<>();
        }
    }

    void add(AttemptRecord record) {
        byPriority[record.order().priority().ordinal()].add(record);
        size++;
    }

    void remove(AttemptRecord record) {
        if (byPriority[record.order().priority().ordinal()].remove(record)) {
            size--;
        }
    }

    Optional<AttemptRecord> poll() {
        for (Set<AttemptRecord> records : byPriority) {
            if (!records.isEmpty()) {
                AttemptRecord first = records.iterator().next();
                remove(first);
                return Optional.of(first);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds the youngest attempt of the lowest priority, if it is lower than the given one.
     *
     * @param priority priority of an attempt that needs the place
     * @return the attempt that would be refused in its favour
     */
    Optional<AttemptRecord> lowerThan(Priority priority) {
        for (int i = byPriority.length - 1; i > priority.ordinal(); i--) {
            if (!byPriority[i].isEmpty()) {
                AttemptRecord last = null;
                for (AttemptRecord record : byPriority[i]) {
                    last = record;
                }
                return Optional.of(last);
            }
        }
        return Optional.empty();
    }

    int size() {
        return size;
    }
}
