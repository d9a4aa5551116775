package org.copperspindle.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.coldstart.ColdAdmission;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.routing.RendezvousScore;

/**
 * Chooses the upstream of an attempt. An engine keeps the prompts that it has read, so that requests with the same shared
 * part go to the same engine while its load is near the mean; other upstreams are chosen by the fewest calls in flight. A cold
 * upstream is passed over unless this node may send to it now, one that has named a limit while its keeper has no room, and one that rests.
 */
final class UpstreamChooser {

    /** How far above the mean of its pool an engine may be loaded before the next in line gets the request. */
    private static final double LOAD_BOUND = 1.25;

    /** Requests that an engine may have beyond that bound: with few in flight the mean says little. */
    private static final int LOAD_SLACK = 3;

    /** An upstream unheard for this long is used only if no other is left; three announcements are missing then. */
    private static final long SILENT_NANOS = 4_500_000_000L;

    /**
     * Bytes of inputs that weigh as much as reading one prompt token again: what a deployment pays for 0.8 MB between
     * failure domains it pays for some 260 tokens.
     */
    private static final long BYTES_PER_TOKEN = 3000;

    private final UpstreamDirectory directory;
    private final UpstreamTracker tracker;
    private final ColdAdmission cold;
    private final SendPermits permits;
    private final UpstreamBackoffs rests;
    private final RandomGenerator random;
    private final String failureDomain;

    UpstreamChooser(
            UpstreamDirectory directory,
            UpstreamTracker tracker,
            ColdAdmission cold,
            SendPermits permits,
            UpstreamBackoffs rests,
            RandomGenerator random,
            String failureDomain) {
        this.directory = directory;
        this.tracker = tracker;
        this.cold = cold;
        this.permits = permits;
        this.rests = rests;
        this.random = random;
        this.failureDomain = failureDomain;
    }

    /**
     * Chooses an upstream.
     *
     * @param pool    the pool
     * @param request the request
     * @param inputs  stage results that the upstream will fetch
     * @param tried   ids of upstreams that have had the request
     * @param now     monotonic time in nanoseconds
     * @return the upstream; empty if the pool has none that can take it
     */
    Optional<UpstreamRecord> choose(
            UpstreamPool pool, GatewayRequest request, StageInputs inputs, Set<String> tried, long now) {
        List<UpstreamRecord> candidates = candidates(pool, tried, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Predicate<UpstreamRecord> bears =
                upstream -> permits.deniedNanos(upstream.id()) == 0 && bears(pool, upstream, now);
        Optional<String> shared = request.sharedPrompt();
        if (pool.engineSlots().isPresent() && shared.isPresent()) {
            return byAffinity(near(candidates, request, inputs), shared.get(), bears)
                    .or(() -> byAffinity(candidates, shared.get(), bears))
                    .or(() -> byLoad(candidates, bears));
        }
        return byLoad(candidates, bears);
    }

    /**
     * Says whether a pool has upstreams that this node passes over for the moment only because they are cold.
     *
     * @param pool  the pool
     * @param tried ids of upstreams that have had the request
     * @param now   monotonic time in nanoseconds
     * @return true if another look a little later may find one
     */
    boolean isWarming(UpstreamPool pool, Set<String> tried, long now) {
        return pool.cold().isPresent()
                && directory.ready(pool.name()).stream()
                        .anyMatch(u -> !tried.contains(u.id()) && directory.isCold(u, now));
    }

    /**
     * Says whether an upstream that was chosen a moment ago may still get the request.
     *
     * @param pool     its pool
     * @param upstream the upstream
     * @param tried    ids of upstreams that have had the request
     * @param now      monotonic time in nanoseconds
     * @return false if it has left, is suspected, or is cold and has had enough
     */
    boolean isFit(UpstreamPool pool, UpstreamRecord upstream, Set<String> tried, long now) {
        return bears(pool, upstream, now)
                && candidates(pool, tried, now).stream().anyMatch(u -> u.id().equals(upstream.id()));
    }

    /**
     * Finds the upstream with a limit that may have room first.
     *
     * @param pool  the pool
     * @param tried ids of upstreams that are passed over
     * @param now   monotonic time in nanoseconds
     * @return the upstream; empty if none that could take the request has a limit
     */
    Optional<UpstreamRecord> soonestLimited(UpstreamPool pool, Set<String> tried, long now) {
        return limitedCandidates(pool, tried, now).stream()
                .filter(u -> bears(pool, u, now))
                .min(Comparator.comparingLong(u -> permits.deniedNanos(u.id())));
    }

    /**
     * Says when the first upstream that rests, or has named a limit, may take the request.
     *
     * @param pool  the pool
     * @param tried ids of upstreams that are passed over
     * @param now   monotonic time in nanoseconds
     * @return nanoseconds from now on, 0 if one may now; empty if no upstream is in need, or none of the pool is left
     */
    OptionalLong soonestNanos(UpstreamPool pool, Set<String> tried, long now) {
        if (!permits.isAnyNeeded() && !rests.isAnyKnown()) {
            // Asked for each held request, many times a second.
            return OptionalLong.empty();
        }
        return sound(pool, tried, now).stream()
                .mapToLong(u -> Math.max(rests.backoffNanos(u.id(), now), permits.deniedNanos(u.id())))
                .min();
    }

    /**
     * Says when the first upstream in need may take the request, if that is too late for it.
     *
     * @param pool     the pool
     * @param tried    ids of upstreams that are passed over
     * @param patience nanoseconds for which its caller waits; below zero once it has waited for longer
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds from now on; empty if an upstream may take it in time, or nothing is known against it
     */
    OptionalLong soonestBeyond(UpstreamPool pool, Set<String> tried, long patience, long now) {
        OptionalLong soonest = soonestNanos(pool, tried, now);
        boolean late = soonest.isPresent() && soonest.getAsLong() > Math.max(0, patience);
        return late ? soonest : OptionalLong.empty();
    }

    /**
     * Lists the upstreams of a pool that have named a limit.
     *
     * @param pool  the pool
     * @param tried ids of upstreams that are left out
     * @param now   monotonic time in nanoseconds
     * @return their ids
     */
    Set<String> limited(UpstreamPool pool, Set<String> tried, long now) {
        return limitedCandidates(pool, tried, now).stream()
                .map(UpstreamRecord::id)
                .collect(Collectors.toSet());
    }

    private List<UpstreamRecord> limitedCandidates(UpstreamPool pool, Set<String> tried, long now) {
        return candidates(pool, tried, now).stream()
                .filter(u -> permits.isNeeded(u.id()))
                .toList();
    }

    private List<UpstreamRecord> candidates(UpstreamPool pool, Set<String> tried, long now) {
        List<UpstreamRecord> usable = sound(pool, tried, now).stream()
                .filter(u -> rests.mayTake(u.id(), tracker.inFlight(u.id()), now))
                .toList();
        List<UpstreamRecord> heard = usable.stream()
                .filter(u -> directory.silenceNanos(u.id(), now) < SILENT_NANOS)
                .toList();
        // All silent at once means that this node is cut off from announcements, not that all have died.
        return heard.isEmpty() ? usable : heard;
    }

    private List<UpstreamRecord> sound(UpstreamPool pool, Set<String> tried, long now) {
        return directory.ready(pool.name()).stream()
                .filter(u -> !tried.contains(u.id()) && tracker.isUsable(u.id(), now))
                .toList();
    }

    private boolean bears(UpstreamPool pool, UpstreamRecord upstream, long now) {
        return pool.cold().isEmpty()
                || !directory.isCold(upstream, now)
                || cold.mayTake(upstream.id(), pool.cold().get(), now);
    }

    /**
     * Keeps the upstreams in the failure domain of most of the inputs, where these weigh more than the shared part of the
     * prompt, which may have to be read again there.
     */
    private List<UpstreamRecord> near(List<UpstreamRecord> candidates, GatewayRequest request, StageInputs inputs) {
        Optional<String> domain = inputs.largestDomain(directory);
        if (domain.isEmpty() || inputs.bytesIn(domain.get(), directory) < request.sharedTokens() * BYTES_PER_TOKEN) {
            return candidates;
        }
        List<UpstreamRecord> near = candidates.stream()
                .filter(u -> u.failureDomain().equals(domain.get()))
                .toList();
        return near.isEmpty() ? candidates : near;
    }

    private Optional<UpstreamRecord> byAffinity(
            List<UpstreamRecord> candidates, String shared, Predicate<UpstreamRecord> bears) {
        double mean = candidates.stream()
                .mapToInt(u -> tracker.inFlight(u.id()))
                .average()
                .orElse(0);
        double bound = mean * LOAD_BOUND + LOAD_SLACK;
        UpstreamRecord best = null;
        long most = 0;
        for (UpstreamRecord upstream : candidates) {
            long score = RendezvousScore.of(shared, upstream.id());
            boolean first = best == null || score > most;
            if (first && tracker.inFlight(upstream.id()) <= bound && bears.test(upstream)) {
                best = upstream;
                most = score;
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<UpstreamRecord> byLoad(List<UpstreamRecord> candidates, Predicate<UpstreamRecord> bears) {
        List<UpstreamRecord> bearing = candidates.stream().filter(bears).toList();
        if (bearing.isEmpty()) {
            return Optional.empty();
        }
        int least =
                bearing.stream().mapToInt(u -> tracker.inFlight(u.id())).min().orElseThrow();
        List<UpstreamRecord> best =
                bearing.stream().filter(u -> tracker.inFlight(u.id()) == least).toList();
        List<UpstreamRecord> near = best.stream()
                .filter(u -> u.failureDomain().equals(failureDomain))
                .toList();
        List<UpstreamRecord> among = near.isEmpty() ? best : near;
        return Optional.of(among.get(random.nextInt(among.size())));
    }
}
