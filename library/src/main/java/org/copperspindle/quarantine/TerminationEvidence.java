package org.copperspindle.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * What is known of the terminations under one suspect. Lists are bounded; the entries that are merged last are kept.
 *
 * @param upstreams  upstream incarnations that terminated
 * @param requests   abbreviated digests of the requests under which they terminated
 * @param terminated software versions of these upstreams
 * @param answered   software versions of upstreams that completed a request with the suspect shortly before, or while it was
 *                   suspected
 */
record TerminationEvidence(
        List<String> upstreams, List<String> requests, List<String> terminated, List<String> answered) {

    /** No terminations. */
    static final TerminationEvidence NONE = new TerminationEvidence(List.of(), List.of(), List.of(), List.of());

    /** Maximum number of entries of a list; enough for an operator to investigate. */
    private static final int MAX_ENTRIES = 8;

    // Bounds values received from other nodes, whose build may have other limits.
    TerminationEvidence {
        upstreams = bounded(upstreams);
        requests = bounded(requests);
        terminated = bounded(terminated);
        answered = bounded(answered);
    }

    /** Returns this evidence together with older evidence. */
    TerminationEvidence merge(TerminationEvidence older) {
        return new TerminationEvidence(
                union(upstreams, older.upstreams),
                union(requests, older.requests),
                union(terminated, older.terminated),
                union(answered, older.answered));
    }

    /** Returns the same evidence with a software version at which a request with the suspect was completed. */
    TerminationEvidence withAnswered(String software) {
        return new TerminationEvidence(List.of(), List.of(), List.of(), List.of(software)).merge(this);
    }

    /** Returns whether the same software completed requests with the suspect before upstreams terminated under it. */
    boolean isContradictory() {
        return terminated.stream().anyMatch(answered::contains);
    }

    private static List<String> bounded(List<String> entries) {
        return entries.stream().limit(MAX_ENTRIES).toList();
    }

    private static List<String> union(List<String> newer, List<String> older) {
        if (older.containsAll(newer)) {
            return older;
        }
        Set<String> merged = new LinkedHashSet<>(newer);
        merged.addAll(older);
        return List.copyOf(merged);
    }
}
