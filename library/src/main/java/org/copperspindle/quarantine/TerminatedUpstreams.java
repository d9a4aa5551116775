package org.copperspindle.quarantine;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.discovery.UpstreamIncarnation;

/**
 * The most recent upstream incarnations that are known to have terminated. A request sent to one of them on a
 * kept-alive connection loses the connection without having run, so it must not be suspected.
 */
final class TerminatedUpstreams {

    /** More than terminate within the minutes for which connections are kept alive; about 50 bytes each. */
    private static final int MAX_INCARNATIONS = 2048;

    private final Map<String, Termination> terminations = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Termination> eldest) {
            return size() > MAX_INCARNATIONS;
        }
    };

    /** Adds incarnations; those that are known keep the time at which this node learned of them. */
    void add(Collection<String> incarnations, long now) {
        incarnations.forEach(incarnation -> terminations.putIfAbsent(incarnation, new Termination(now, false)));
    }

    /** Returns whether an incarnation has terminated and no answer of it was read since. */
    boolean contains(UpstreamIncarnation incarnation) {
        return find(incarnation).filter(known -> !known.answeredSince()).isPresent();
    }

    /** Returns when this node learned that an incarnation has terminated; empty if it is not known to have. */
    OptionalLong learnedAt(UpstreamIncarnation incarnation) {
        return find(incarnation)
                .map(Termination::learnedAt)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    /** Records that an answer of an incarnation was read. It may have been sent before the termination. */
    void markAlive(UpstreamIncarnation incarnation) {
        find(incarnation).ifPresent(known -> terminations.replace(incarnation.text(), known.answered()));
    }

    /** Records that an incarnation that is known to have terminated does not accept connections. */
    void markUnreachable(UpstreamIncarnation incarnation, long now) {
        terminations.computeIfPresent(incarnation.text(), (text, known) -> new Termination(now, known.answeredSince()));
    }

    private Optional<Termination> find(UpstreamIncarnation incarnation) {
        return terminations.isEmpty() ? Optional.empty() : Optional.ofNullable(terminations.get(incarnation.text()));
    }

    private record Termination(long learnedAt, boolean answeredSince) {

        Termination answered() {
            return new Termination(learnedAt, true);
        }
    }
}
