package org.copperspindle.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

import org.copperspindle.routing.RendezvousScore;

/**
 * Keeps requests at the engines that have cached their shared parts while their prompts do no harm there: neither is
 * the first event late, nor do streams that run there pause for longer than their routes allow. Engines read prompts
 * between the steps of their streams, so the pause that a prompt causes is at most the time it takes to read it and
 * those before it.
 *
 * <p>All nodes decide on the same state, which is older than what they have sent since. Where a rule prefers one
 * engine, it admits all engines that would be equally good once they have that, and spreads requests over them.
 */
final class UndisturbedPlacement implements EnginePlacement {

    /**
     * Share of the longest allowed pause that reading prompts may take. The rest is for the steps of the streams, and
     * for what other nodes send at the same time.
     */
    private static final double MAX_PAUSE_SHARE = 0.7;

    /**
     * The same at the home engine if it has cached the shared part. Callers notice the reading time that is left, which
     * is less than the computed one: a prompt counts in full until its first event, although half of it has been read
     * on average. Any other engine has to read the shared part as well, which interrupts streams for longer.
     */
    private static final double HOME_MAX_PAUSE_SHARE = 1.3;

    @Override
    public PlacementDecision place(PlacementDemand demand, List<EngineCandidate> candidates) {
        if (candidates.isEmpty()) {
            return new PlacementDecision.None();
        }
        if (demand.resumed()) {
            return resume(demand, candidates);
        }
        EngineCandidate home = highest(candidates, EngineCandidate::score).orElseThrow();
        if (home.cached() && isTimely(demand, home) && isUndisturbed(demand, home, HOME_MAX_PAUSE_SHARE)) {
            return new PlacementDecision.Send(home.engine(), PlacementReason.HOME);
        }
        return elsewhere(demand, candidates, home);
    }

    /**
     * Chooses an engine when the home engine can't take the request. Engines with recent long pauses come last among
     * those that are equal otherwise: if they were left out, a single engine without pauses would get all requests.
     */
    private static PlacementDecision elsewhere(
            PlacementDemand demand, List<EngineCandidate> engines, EngineCandidate home) {
        List<EngineCandidate> harmless = steadyFirst(demand, filter(engines, e -> isHarmless(demand, e)));
        if (!harmless.isEmpty()) {
            return harmless(harmless, home);
        }
        List<EngineCandidate> timely = steadyFirst(demand, filter(engines, e -> isTimely(demand, e)));
        if (!timely.isEmpty()) {
            return send(leastDisturbing(demand, timely), home, PlacementReason.LEAST_DISTURBING);
        }
        return late(demand, engines, home);
    }

    /** Prefers an engine that has cached the shared part. */
    private static PlacementDecision harmless(List<EngineCandidate> harmless, EngineCandidate home) {
        Optional<EngineCandidate> cached = highest(filter(harmless, EngineCandidate::cached), EngineCandidate::score);
        if (cached.isPresent()) {
            return send(cached.get(), home, PlacementReason.CACHED);
        }
        EngineCandidate other = highest(harmless, EngineCandidate::score).orElseThrow();
        return send(other, home, PlacementReason.OTHER);
    }

    /** Returns the engines without recent long pauses; all of them if each has had one. */
    private static List<EngineCandidate> steadyFirst(PlacementDemand demand, List<EngineCandidate> engines) {
        List<EngineCandidate> steady = filter(engines, e -> isSteady(demand, e));
        return steady.isEmpty() ? engines : steady;
    }

    /** Chooses for a request that is late at any engine; a home engine with the shared part gets it if hardly later. */
    private static PlacementDecision late(PlacementDemand demand, List<EngineCandidate> engines, EngineCandidate home) {
        List<EngineCandidate> early = earliest(demand, engines);
        double latest = early.stream()
                .mapToDouble(e -> firstEventNanos(demand, e))
                .max()
                .orElseThrow();
        if (home.cached() && firstEventNanos(demand, home) <= latest + demand.marginNanos()) {
            return new PlacementDecision.Send(home.engine(), PlacementReason.HOME);
        }
        return send(highest(early, EngineCandidate::score).orElseThrow(), home, PlacementReason.EARLIEST);
    }

    /**
     * Continues a stream. All nodes resume the streams of a failed engine at the same moment, so its requests are spread
     * over the engines that are in time.
     */
    private static PlacementDecision resume(PlacementDemand demand, List<EngineCandidate> candidates) {
        List<EngineCandidate> inTime = filter(candidates, e -> firstEventNanos(demand, e) <= demand.leftNanos());
        if (!inTime.isEmpty()) {
            return new PlacementDecision.Send(spread(demand, inTime).engine(), PlacementReason.RESUMED);
        }
        EngineCandidate early = spread(demand, earliest(demand, candidates));
        return new PlacementDecision.Send(early.engine(), PlacementReason.EARLIEST);
    }

    /** Returns the engine that gets the request so that the fewest streams per speed are interrupted. */
    private static EngineCandidate leastDisturbing(PlacementDemand demand, List<EngineCandidate> engines) {
        // Other prompts for which this rule applies are about as long as this one.
        double prompts =
                1 + (double) demand.unseenTokens() / Math.max(1, demand.prompt().tokens());
        return spread(demand, lowest(engines, e -> e.streams() / e.tokensPerNano(), prompts));
    }

    /** Returns the engines that would finish no later than any other once they have what other nodes have sent. */
    private static List<EngineCandidate> earliest(PlacementDemand demand, List<EngineCandidate> engines) {
        return lowest(engines, e -> firstEventNanos(demand, e), demand.unseenTokens());
    }

    /**
     * Returns the engines that get a part of an amount of work if it is divided so that their loads become equal. Speeds
     * are those at which the work raises the loads.
     */
    private static List<EngineCandidate> lowest(
            List<EngineCandidate> engines, ToDoubleFunction<EngineCandidate> load, double amount) {
        List<EngineCandidate> sorted =
                engines.stream().sorted(Comparator.comparingDouble(load)).toList();
        double limit = LoadLevel.of(sorted, load, EngineCandidate::tokensPerNano, amount);
        return filter(sorted, e -> load.applyAsDouble(e) <= limit);
    }

    private static EngineCandidate spread(PlacementDemand demand, List<EngineCandidate> engines) {
        return highest(
                        engines,
                        e -> RendezvousScore.of(demand.requestId(), e.engine().id()))
                .orElseThrow();
    }

    private static List<EngineCandidate> filter(List<EngineCandidate> engines, Predicate<EngineCandidate> condition) {
        return engines.stream().filter(condition).toList();
    }

    private static Optional<EngineCandidate> highest(
            List<EngineCandidate> engines, ToLongFunction<EngineCandidate> score) {
        return engines.stream().max(Comparator.comparingLong(score));
    }

    private static PlacementDecision send(EngineCandidate engine, EngineCandidate home, PlacementReason reason) {
        return new PlacementDecision.Send(engine.engine(), engine == home ? PlacementReason.HOME : reason);
    }

    private static boolean isSteady(PlacementDemand demand, EngineCandidate engine) {
        return engine.longestPauseNanos() <= demand.maxPauseNanos() * MAX_PAUSE_SHARE;
    }

    private static boolean isHarmless(PlacementDemand demand, EngineCandidate engine) {
        return isUndisturbed(demand, engine, MAX_PAUSE_SHARE) && isTimely(demand, engine);
    }

    private static boolean isUndisturbed(PlacementDemand demand, EngineCandidate engine, double maxShare) {
        return engine.streams() == 0 || readNanos(demand, engine) <= demand.maxPauseNanos() * maxShare;
    }

    private static boolean isTimely(PlacementDemand demand, EngineCandidate engine) {
        return firstEventNanos(demand, engine) <= demand.leftNanos() - demand.marginNanos();
    }

    private static double firstEventNanos(PlacementDemand demand, EngineCandidate engine) {
        return readNanos(demand, engine) + engine.baseNanos();
    }

    private static double readNanos(PlacementDemand demand, EngineCandidate engine) {
        return (engine.waitingTokens() + demand.prompt().unreadTokens(engine.cached())) / engine.tokensPerNano();
    }
}
