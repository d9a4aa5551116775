package org.copperspindle.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The most recent upstream incarnations that are known to have terminated. A request sent to one of them on a
 * kept-alive connection loses the connection without having run, so it must not be suspected.
 */
final class TerminatedUpstreams {

    /** More than terminate within the minutes for which connections are kept alive; about 50 bytes each. */
    private static final int MAX_INCARNATIONS = 2048;

    private final Map<String, Long> learnedAt = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MAX_INCARNATIONS;
        }
    };

    /** Adds incarnations; those that are known keep the time at which this node learned of them. */
    void add(Collection<String> terminated, long now) {
        terminated.forEach(incarnation -> learnedAt.putIfAbsent(incarnation, now));
    }

    boolean contains(UpstreamIncarnation incarnation) {
        return learnedAt(incarnation).isPresent();
    }

    /** Returns when this node learned that an incarnation has terminated; empty if it is not known to have. */
    OptionalLong learnedAt(UpstreamIncarnation incarnation) {
        Long at = learnedAt.isEmpty() ? null : learnedAt.get(incarnation.text());
        return at == null ? OptionalLong.empty() : OptionalLong.of(at);
    }

    /** Removes an incarnation that answered and is therefore alive. */
    void markAlive(UpstreamIncarnation incarnation) {
        if (!learnedAt.isEmpty()) {
            learnedAt.remove(incarnation.text());
        }
    }
}
