package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Set;

import org.copperspindle.measure.SlidingWindowCount;

/**
 * Recent history of the upstreams of one pool as this node observed it: runs that they survived, and terminations
 * with the requests that were running. It distinguishes a request that crashes upstreams from one that runs on all of
 * them.
 */
final class PoolTerminationHistory {

    /** Observation window. It covers several consecutive terminations: a restart of an upstream takes seconds. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int BUCKETS = 2;

    /** Maximum number of terminations kept; more than that within the window are many in any case. */
    private static final int MAX_TERMINATIONS = 64;

    private final Deque<Termination> terminations = new ArrayDeque<>();
    private final SlidingWindowCount survivedRuns = new SlidingWindowCount(BUCKETS, WINDOW_NANOS / BUCKETS);

    void recordSurvivedRun(long now) {
        survivedRuns.add(now);
    }

    /** Records the termination of an upstream incarnation with the suspects of this node that were running there. */
    void recordTermination(String incarnation, Set<SuspectDigest> suspects, long now) {
        terminations.addLast(new Termination(incarnation, suspects, now));
        if (terminations.size() > MAX_TERMINATIONS) {
            terminations.removeFirst();
        }
    }

    /**
     * Returns whether more upstreams terminated without a suspect than runs survived.
     *
     * @param suspect the suspect
     * @param with    incarnations that terminated under the suspect at any node; this one may only have had other requests
     *     there
     * @param now     monotonic time in nanoseconds
     */
    boolean terminatesMoreWithout(SuspectDigest suspect, Collection<String> with, long now) {
        terminations.removeIf(termination -> now - termination.at() > WINDOW_NANOS);
        long terminatedWithout = terminations.stream()
                .filter(termination -> !termination.suspects().contains(suspect))
                .map(Termination::incarnation)
                .filter(incarnation -> !with.contains(incarnation))
                .distinct()
                .count();
        return terminatedWithout > survivedRuns.sum(now);
    }

    private record Termination(String incarnation, Set<SuspectDigest> suspects, long at) {}
}
