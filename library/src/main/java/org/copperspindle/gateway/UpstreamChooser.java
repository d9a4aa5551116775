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
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineEstimates;
import org.copperspindle.placement.PlacementDecision;
import org.copperspindle.route.Route;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.stage.StageInputs;

/**
 * Chooses the upstream of an attempt. Engines cache the prompts that they have read, so requests with the same shared
 * prompt part go to the same engine while an {@link EngineChoice} allows it. Other upstreams are chosen by the fewest
 * calls in flight. Skipped are cold upstreams that this node may not send to now, upstreams with a limit whose
 * owner has no capacity left, and upstreams that requested a backoff.
 */
final class UpstreamChooser {

    /**
     * Upstreams without an announcement for this long are used only if no other is left; they missed three
     * announcements.
     */
    private static final long SILENCE_TIMEOUT_NANOS = 4_500_000_000L;

    /**
     * Input bytes that weigh as much as reading one prompt token again: transferring 0.8 MB between failure domains
     * costs a deployment about as much as 260 tokens.
     */
    private static final long BYTES_PER_TOKEN = 3000;

    private final UpstreamDirectory directory;
    private final UpstreamTracker tracker;
    private final ColdAdmission cold;
    private final SendPermits permits;
    private final UpstreamBackoffs backoffs;
    private final RandomGenerator random;
    private final String failureDomain;
    private EngineChoice engines;
    private Optional<EnginePlacer> placer = Optional.empty();
    private Predicate<UpstreamRecord> terminated = upstream -> false;

    UpstreamChooser(
            UpstreamDirectory directory,
            UpstreamTracker tracker,
            ColdAdmission cold,
            SendPermits permits,
            UpstreamBackoffs backoffs,
            RandomGenerator random,
            String failureDomain) {
        this.directory = directory;
        this.tracker = tracker;
        this.cold = cold;
        this.permits = permits;
        this.backoffs = backoffs;
        this.random = random;
        this.failureDomain = failureDomain;
        this.engines = new AffinityEngineChoice(tracker);
    }

    /** Sets the choice among the engines that may take a request, instead of the one by affinity alone. */
    void chooseEnginesWith(EngineChoice choice) {
        engines = choice;
    }

    /** Sets the placement of requests whose routes have a longest allowed pause. */
    void placeWith(EnginePlacer enginePlacer) {
        placer = Optional.of(enginePlacer);
    }

    /** Sets which upstreams have terminated, as far as other nodes have told this one; they are skipped. */
    void skipTerminated(Predicate<UpstreamRecord> condition) {
        terminated = condition;
    }

    /**
     * Chooses an upstream.
     *
     * @param pool     the pool
     * @param route    its route
     * @param request  the request
     * @param inputs   stage results that the upstream will fetch
     * @param eligible whether an upstream may get the request at all
     * @param times    times of the request
     * @param now      monotonic time in nanoseconds
     * @return the upstream; empty if the pool has none that can take it
     */
    Optional<ChosenUpstream> choose(
            UpstreamPool pool,
            Route route,
            GatewayRequest request,
            StageInputs inputs,
            Predicate<UpstreamRecord> eligible,
            PlacementTimes times,
            long now) {
        List<UpstreamRecord> candidates = candidates(pool, eligible, now);
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        Predicate<UpstreamRecord> accepts = upstream -> acceptsNow(pool, upstream, now);
        if (pool.engineSlots().isEmpty() || request.sharedPrompt().isEmpty()) {
            return byLoad(candidates, accepts).map(UpstreamChooser::unplaced);
        }
        EngineDemand demand = demand(pool, route, request);
        List<UpstreamRecord> near = nearInputs(candidates, request, inputs);
        Optional<EngineEstimates> estimates = placer.flatMap(p -> p.estimates(demand));
        if (estimates.isPresent()) {
            List<UpstreamRecord> accepting = near.stream().filter(accepts).toList();
            List<UpstreamRecord> preferred =
                    accepting.isEmpty() ? candidates.stream().filter(accepts).toList() : accepting;
            return placed(placer.get().place(demand, times, estimates.get(), preferred));
        }
        return engines.choose(demand, near, accepts)
                .or(() -> engines.choose(demand, candidates, accepts))
                .or(() -> byLoad(candidates, accepts))
                .map(UpstreamChooser::unplaced);
    }

    /**
     * Returns whether a pool has upstreams that this node skips only because they are cold.
     *
     * @param pool     the pool
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return true if a later call may find one
     */
    boolean isWarming(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        return pool.cold().isPresent()
                && directory.ready(pool.name()).stream().anyMatch(u -> eligible.test(u) && directory.isCold(u, now));
    }

    /**
     * Finds an upstream that was chosen earlier, if it may still get the request.
     *
     * @param pool     its pool
     * @param id       id of the upstream
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return its present record; empty if it has left, is suspected, or is cold and has received as many requests as it
     *     can take
     */
    Optional<UpstreamRecord> findUsable(UpstreamPool pool, String id, Predicate<UpstreamRecord> eligible, long now) {
        return candidates(pool, eligible, now).stream()
                .filter(upstream -> upstream.id().equals(id))
                .filter(upstream -> accepts(pool, upstream, now))
                .findFirst();
    }

    /**
     * Returns the upstream with a limit that may have capacity first.
     *
     * @param pool     the pool
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return the upstream; empty if none that could take the request has a limit
     */
    Optional<UpstreamRecord> earliestLimited(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        return limitedCandidates(pool, eligible, now).stream()
                .filter(u -> accepts(pool, u, now))
                .min(Comparator.comparingLong(u -> permits.deniedNanos(u.id())));
    }

    /**
     * Returns when the first upstream with a backoff or a limit may take the request.
     *
     * @param pool     the pool
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds from now, 0 if one may take it now; empty if no upstream signals backpressure, or none is
     *     left
     */
    OptionalLong earliestNanos(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        if (!permits.isAnyNeeded() && !backoffs.isAnyKnown()) {
            // Called many times a second for each deferred request.
            return OptionalLong.empty();
        }
        return healthy(pool, eligible, now).stream()
                .mapToLong(u -> Math.max(backoffs.backoffNanos(u.id(), now), permits.deniedNanos(u.id())))
                .min();
    }

    /**
     * Returns when the first upstream that signals backpressure may take the request, if that is too late for the
     * caller.
     *
     * @param pool            the pool
     * @param eligible        whether an upstream may get the request at all
     * @param callerTimeNanos nanoseconds for which the caller still waits; negative if that time has passed
     * @param now             monotonic time in nanoseconds
     * @return nanoseconds from now; empty if an upstream may take it in time, or no upstream signals backpressure
     */
    OptionalLong earliestBeyond(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long callerTimeNanos, long now) {
        OptionalLong earliest = earliestNanos(pool, eligible, now);
        boolean late = earliest.isPresent() && earliest.getAsLong() > Math.max(0, callerTimeNanos);
        return late ? earliest : OptionalLong.empty();
    }

    /**
     * Returns the upstreams of a pool that have a limit.
     *
     * @param pool     the pool
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return their ids
     */
    Set<String> limited(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        return limitedCandidates(pool, eligible, now).stream()
                .map(UpstreamRecord::id)
                .collect(Collectors.toSet());
    }

    /**
     * Returns whether an upstream that may get the request serves, whatever its load and its health.
     *
     * @param pool     the pool
     * @param eligible whether an upstream may get the request at all
     * @return false if waiting would not help
     */
    boolean hasEligible(UpstreamPool pool, Predicate<UpstreamRecord> eligible) {
        return directory.ready(pool.name()).stream().anyMatch(eligible);
    }

    /**
     * Returns whether an upstream that fulfils a condition is healthy and has not requested a backoff.
     *
     * @param pool      the pool
     * @param condition the condition
     * @param now       monotonic time in nanoseconds
     * @return true if it could be chosen
     */
    boolean hasUsable(UpstreamPool pool, Predicate<UpstreamRecord> condition, long now) {
        return !candidates(pool, condition, now).isEmpty();
    }

    /**
     * Returns whether a chosen upstream still accepts requests.
     *
     * @param chosen the upstream as it was chosen
     * @return false if it leaves or has left since
     */
    boolean isReady(UpstreamRecord chosen) {
        return directory.ready(chosen.pool()).stream()
                .anyMatch(present -> UpstreamIncarnation.of(present).equals(UpstreamIncarnation.of(chosen)));
    }

    /**
     * Returns whether an upstream now announces another software version than when it was chosen.
     *
     * @param chosen its record at that time
     * @return false also if it has left
     */
    boolean hasChangedSoftware(UpstreamRecord chosen) {
        return directory
                .find(chosen.id())
                .filter(present -> !present.software().equals(chosen.software()))
                .isPresent();
    }

    /** Returns whether any of the stage results is known to be lost with its producer. */
    boolean isLost(StageInputs inputs) {
        return inputs.isLost(directory);
    }

    private List<UpstreamRecord> limitedCandidates(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        return candidates(pool, eligible, now).stream()
                .filter(u -> permits.isNeeded(u.id()))
                .toList();
    }

    private List<UpstreamRecord> candidates(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        List<UpstreamRecord> usable = healthy(pool, eligible, now).stream()
                .filter(u -> backoffs.mayTake(u.id(), tracker.inFlight(u.id()), now))
                .toList();
        List<UpstreamRecord> announcing = usable.stream()
                .filter(u -> directory.silenceNanos(u.id(), now) < SILENCE_TIMEOUT_NANOS)
                .toList();
        // If all are silent, this node is isolated from announcements; they have not all crashed.
        return announcing.isEmpty() ? usable : announcing;
    }

    private List<UpstreamRecord> healthy(UpstreamPool pool, Predicate<UpstreamRecord> eligible, long now) {
        return directory.ready(pool.name()).stream()
                .filter(u -> eligible.test(u) && tracker.isUsable(u.id(), now) && !terminated.test(u))
                .toList();
    }

    private static ChosenUpstream unplaced(UpstreamRecord upstream) {
        return new ChosenUpstream(upstream, Optional.empty());
    }

    private static Optional<ChosenUpstream> placed(PlacementDecision decision) {
        return decision instanceof PlacementDecision.Send send
                ? Optional.of(new ChosenUpstream(send.engine(), Optional.of(send.reason())))
                : Optional.empty();
    }

    private boolean acceptsNow(UpstreamPool pool, UpstreamRecord upstream, long now) {
        return permits.deniedNanos(upstream.id()) == 0 && accepts(pool, upstream, now);
    }

    private boolean accepts(UpstreamPool pool, UpstreamRecord upstream, long now) {
        return pool.cold().isEmpty()
                || !directory.isCold(upstream, now)
                || cold.mayTake(upstream.id(), pool.cold().get(), now);
    }

    /**
     * Keeps the upstreams in the failure domain with most of the input bytes, if these weigh more than the shared
     * prompt part, which an upstream there may have to read again.
     */
    private List<UpstreamRecord> nearInputs(
            List<UpstreamRecord> candidates, GatewayRequest request, StageInputs inputs) {
        Optional<String> domain = inputs.largestDomain(directory);
        if (domain.isEmpty() || inputs.bytesIn(domain.get(), directory) < request.sharedTokens() * BYTES_PER_TOKEN) {
            return candidates;
        }
        List<UpstreamRecord> near = candidates.stream()
                .filter(u -> u.failureDomain().equals(domain.get()))
                .toList();
        return near.isEmpty() ? candidates : near;
    }

    private static EngineDemand demand(UpstreamPool pool, Route route, GatewayRequest request) {
        return new EngineDemand(
                pool.name(),
                request.enginePrompt(),
                route.objective().toNanos(),
                route.maxEventGap().toNanos());
    }

    private Optional<UpstreamRecord> byLoad(List<UpstreamRecord> candidates, Predicate<UpstreamRecord> accepts) {
        List<UpstreamRecord> accepting = candidates.stream().filter(accepts).toList();
        if (accepting.isEmpty()) {
            return Optional.empty();
        }
        int least =
                accepting.stream().mapToInt(u -> tracker.inFlight(u.id())).min().orElseThrow();
        List<UpstreamRecord> best = accepting.stream()
                .filter(u -> tracker.inFlight(u.id()) == least)
                .toList();
        List<UpstreamRecord> near = best.stream()
                .filter(u -> u.failureDomain().equals(failureDomain))
                .toList();
        List<UpstreamRecord> preferred = near.isEmpty() ? best : near;
        return Optional.of(preferred.get(random.nextInt(preferred.size())));
    }
}
