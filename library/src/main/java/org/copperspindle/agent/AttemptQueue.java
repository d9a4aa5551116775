package org.copperspindle.agent;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import org.copperspindle.config.Priority;

/**
 * Attempts that wait for the upstream, ordered by priority, then by age.
 */
final class AttemptQueue {

    private final List<Set<AttemptRecord>> byPriority = Stream.of(Priority.values())
            .<Set<AttemptRecord>>map(priority -> new LinkedHashSet<>())
            .toList();
    private int size;

    void add(AttemptRecord record) {
        byPriority.get(record.order().priority().ordinal()).add(record);
        size++;
    }

    void remove(AttemptRecord record) {
        if (byPriority.get(record.order().priority().ordinal()).remove(record)) {
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
     * Finds the youngest attempt of the lowest priority, if that is lower than the given one.
     *
     * @param priority priority of an attempt that needs the place
     * @return the attempt to refuse in its favour
     */
    Optional<AttemptRecord> lowerThan(Priority priority) {
        for (int i = byPriority.size() - 1; i > priority.ordinal(); i--) {
            if (!byPriority.get(i).isEmpty()) {
                AttemptRecord last = null;
                for (AttemptRecord record : byPriority.get(i)) {
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
