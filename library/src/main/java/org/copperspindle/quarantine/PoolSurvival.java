package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;

import org.copperspindle.measure.SlidingCount;

/**
 * How the upstreams of one pool have fared lately, as this node saw it: runs that they outlived, and ends of upstreams with the
 * requests that ran. It tells a request that ends upstreams from one that runs where everything does.
 */
final class PoolSurvival {

    /** Long enough for a few ends one after the other: an upstream takes seconds to be back. */
    private static final long WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    private static final int BUCKETS = 2;

    /** More ends than that in a window are many in any case. */
    private static final int MAX_ENDS = 64;

    private final Deque<End> ends = new ArrayDeque<>();
    private final SlidingCount outlived = new SlidingCount(BUCKETS, WINDOW_NANOS / BUCKETS);

    void outlived(long now) {
        outlived.add(now);
    }

    /** Notes the end of one life of an upstream with the requests of this node that ran there. */
    void ended(String life, Set<RequestDigest> ran, long now) {
        ends.addLast(new End(life, ran, now));
        if (ends.size() > MAX_ENDS) {
            ends.removeFirst();
        }
    }

    /** Says whether more upstreams ended without a request than runs were outlived. */
    boolean endsWithout(RequestDigest request, long now) {
        ends.removeIf(end -> now - end.at() > WINDOW_NANOS);
        long without = ends.stream()
                .filter(end -> !end.ran().contains(request))
                .map(End::life)
                .distinct()
                .count();
        return without > outlived.sum(now);
    }

    private record End(String life, Set<RequestDigest> ran, long at) {}
}
