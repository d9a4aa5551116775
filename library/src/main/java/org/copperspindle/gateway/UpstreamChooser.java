package org.copperspindle.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import net.openhft.hashing.LongHashFunction;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamNews;
import org.copperspindle.route.UpstreamPool;

/**
 * Chooses the upstream of an attempt. An engine keeps the prompts that it has read, so that requests with the same shared
 * part go to the same engine while its load is near the mean; other upstreams are chosen by the fewest calls in flight.
 */
final class UpstreamChooser {

    /** How far above the mean of its pool an engine may be loaded before the next in line gets the request. */
    private static final double LOAD_BOUND = 1.25;

    /** Requests that an engine may have beyond that bound: with few in flight the mean says little. */
    private static final int LOAD_SLACK = 3;

    /** An upstream unheard for this long is used only if no other is left; three announcements are missing then. */
    private static final long SILENT_NANOS = 4_500_000_000L;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private final UpstreamDirectory directory;
    private final UpstreamTracker tracker;
    private final RandomGenerator random;
    private final String failureDomain;

    UpstreamChooser(
            UpstreamDirectory directory, UpstreamTracker tracker, RandomGenerator random, String failureDomain) {
        this.directory = directory;
        this.tracker = tracker;
        this.random = random;
        this.failureDomain = failureDomain;
    }

    /**
     * Chooses an upstream.
     *
     * @param pool   the pool
     * @param shared shared part of the prompt, if there is one
     * @param tried  ids of upstreams that have had the request
     * @param now    monotonic time in nanoseconds
     * @return the upstream; empty if the pool has none that can take it
     */
    Optional<UpstreamNews> choose(UpstreamPool pool, Optional<String> shared, Set<String> tried, long now) {
        List<UpstreamNews> ready = directory.ready(pool.name()).stream()
                .filter(u -> !tried.contains(u.id()))
                .toList();
        List<UpstreamNews> usable =
                ready.stream().filter(u -> tracker.isUsable(u.id(), now)).toList();
        List<UpstreamNews> heard = usable.stream()
                .filter(u -> directory.silence(u.id(), now) < SILENT_NANOS)
                .toList();
        // All silent at once means that this node is cut off from announcements, not that all have died.
        List<UpstreamNews> candidates = heard.isEmpty() ? usable : heard;
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        if (pool.engineSlots().isPresent() && shared.isPresent()) {
            return Optional.of(byAffinity(candidates, shared.get()));
        }
        return Optional.of(byLoad(candidates));
    }

    private UpstreamNews byAffinity(List<UpstreamNews> candidates, String shared) {
        double mean = candidates.stream()
                .mapToInt(u -> tracker.inFlight(u.id()))
                .average()
                .orElse(0);
        double bound = mean * LOAD_BOUND + LOAD_SLACK;
        return candidates.stream()
                .filter(u -> tracker.inFlight(u.id()) <= bound)
                .max(Comparator.comparingLong(u -> HASH.hashChars(shared + '@' + u.id())))
                .orElseThrow();
    }

    private UpstreamNews byLoad(List<UpstreamNews> candidates) {
        int least = candidates.stream()
                .mapToInt(u -> tracker.inFlight(u.id()))
                .min()
                .orElseThrow();
        List<UpstreamNews> best = candidates.stream()
                .filter(u -> tracker.inFlight(u.id()) == least)
                .toList();
        List<UpstreamNews> near = best.stream()
                .filter(u -> u.failureDomain().equals(failureDomain))
                .toList();
        List<UpstreamNews> among = near.isEmpty() ? best : near;
        return among.get(random.nextInt(among.size()));
    }
}
