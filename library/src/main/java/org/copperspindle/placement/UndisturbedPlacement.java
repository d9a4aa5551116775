package org.copperspindle.placement;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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
     * The same at the home engine. Engines that read in chunks make the streams wait for a part of the reading time
     * only, and any other engine has to read the shared part again, which interrupts streams as well.
     */
    private static final double HOME_MAX_PAUSE_SHARE = 1.3;

    /** Longest wait for an engine in total: results of stages occupy the memory of their producers meanwhile. */
    private static final long MAX_WAIT_NANOS = Duration.ofMillis(400).toNanos();

    /** Share of the time left that a request may wait: estimates of the rest may be wrong. */
    private static final double MAX_WAIT_SHARE = 0.5;

    /** Shortest wait, so that a request is not decided again before an engine has read a part of a prompt. */
    private static final long MIN_WAIT_NANOS = Duration.ofMillis(10).toNanos();

    /** Shared part that is worth a wait; a smaller one is read again in less time than a wait takes. */
    private static final long MIN_WAIT_TOKENS = 1000;

    /** The same as a share of the prompt. */
    private static final double MIN_WAIT_PROMPT_SHARE = 0.1;

    @Override
    public PlacementDecision place(PlacementDemand demand, List<EngineCandidate> candidates) {
        if (candidates.isEmpty()) {
            return new PlacementDecision.None();
        }
        if (demand.resumed()) {
            return resume(demand, candidates);
        }
        EngineCandidate home = highest(candidates, EngineCandidate::score).orElseThrow();
        if (isTimely(demand, home) && isUndisturbed(demand, home, HOME_MAX_PAUSE_SHARE)) {
            return new PlacementDecision.Send(home.engine(), PlacementReason.HOME);
        }
        long wait = waitNanos(demand, home);
        if (wait > 0) {
            return new PlacementDecision.Wait(wait);
        }
        List<EngineCandidate> steady =
                candidates.stream().filter(e -> isSteady(demand, e)).toList();
        return elsewhere(demand, steady.isEmpty() ? candidates : steady, home);
    }

    /** Chooses an engine when the home engine can't take the request now. */
    private static PlacementDecision elsewhere(
            PlacementDemand demand, List<EngineCandidate> engines, EngineCandidate home) {
        List<EngineCandidate> harmless =
                engines.stream().filter(e -> isHarmless(demand, e)).toList();
        Optional<EngineCandidate> cached =
                highest(harmless.stream().filter(EngineCandidate::cached).toList(), EngineCandidate::score);
        if (cached.isPresent()) {
            return send(cached.get(), home, PlacementReason.CACHED);
        }
        Optional<EngineCandidate> other = highest(harmless, EngineCandidate::score);
        if (other.isPresent()) {
            return send(other.get(), home, PlacementReason.OTHER);
        }
        List<EngineCandidate> timely =
                engines.stream().filter(e -> isTimely(demand, e)).toList();
        if (!timely.isEmpty()) {
            return send(leastDisturbing(demand, timely), home, PlacementReason.LEAST_DISTURBING);
        }
        return late(demand, engines, home);
    }

    /** Chooses for a request that is late at any engine; its home engine gets it if that is hardly later. */
    private static PlacementDecision late(PlacementDemand demand, List<EngineCandidate> engines, EngineCandidate home) {
        List<EngineCandidate> early = earliest(demand, engines);
        double latest = early.stream()
                .mapToDouble(e -> firstEventNanos(demand, e))
                .max()
                .orElseThrow();
        if (firstEventNanos(demand, home) <= latest + demand.marginNanos()) {
            return new PlacementDecision.Send(home.engine(), PlacementReason.HOME);
        }
        return send(highest(early, EngineCandidate::score).orElseThrow(), home, PlacementReason.EARLIEST);
    }

    /**
     * Continues a stream. All nodes resume the streams of a failed engine at the same moment, so its requests are spread
     * over the engines that are in time.
     */
    private static PlacementDecision resume(PlacementDemand demand, List<EngineCandidate> candidates) {
        List<EngineCandidate> inTime = candidates.stream()
                .filter(e -> firstEventNanos(demand, e) <= demand.leftNanos())
                .toList();
        if (!inTime.isEmpty()) {
            return new PlacementDecision.Send(spread(demand, inTime).engine(), PlacementReason.RESUMED);
        }
        EngineCandidate early = spread(demand, earliest(demand, candidates));
        return new PlacementDecision.Send(early.engine(), PlacementReason.EARLIEST);
    }

    /** Returns how long to wait until the home engine can take the request; 0 if it does not become able in time. */
    private static long waitNanos(PlacementDemand demand, EngineCandidate home) {
        boolean isWorthIt = demand.sharedTokens() >= MIN_WAIT_TOKENS
                && demand.sharedTokens() >= demand.promptTokens() * MIN_WAIT_PROMPT_SHARE;
        double waitingNanos = home.waitingTokens() / home.tokensPerNano();
        double excess = readNanos(demand, home) - demand.maxPauseNanos() * HOME_MAX_PAUSE_SHARE;
        if (!isWorthIt || excess <= 0 || excess > waitingNanos) {
            return 0;
        }
        long wait = Math.max(MIN_WAIT_NANOS, (long) Math.ceil(excess));
        double longest = Math.min(demand.leftNanos() * MAX_WAIT_SHARE, MAX_WAIT_NANOS - demand.waitedNanos());
        // The engine reads meanwhile, so that the first event comes no later than if the request were sent now.
        return wait <= longest && isTimely(demand, home) ? wait : 0;
    }

    /** Returns the engine that gets the request so that the fewest streams per speed are interrupted. */
    private static EngineCandidate leastDisturbing(PlacementDemand demand, List<EngineCandidate> engines) {
        // Other prompts for which this rule applies are about as long as this one.
        double prompts = 1 + (double) demand.unseenTokens() / Math.max(1, demand.promptTokens());
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
        double speed = 0;
        double weighted = 0;
        double level = load.applyAsDouble(sorted.get(0));
        for (EngineCandidate engine : sorted) {
            if (speed > 0 && load.applyAsDouble(engine) > level) {
                break;
            }
            speed += engine.tokensPerNano();
            weighted += engine.tokensPerNano() * load.applyAsDouble(engine);
            level = (amount + weighted) / speed;
        }
        double limit = Math.max(level, load.applyAsDouble(sorted.get(0)));
        return sorted.stream().filter(e -> load.applyAsDouble(e) <= limit).toList();
    }

    private static EngineCandidate spread(PlacementDemand demand, List<EngineCandidate> engines) {
        return highest(
                        engines,
                        e -> RendezvousScore.of(demand.requestId(), e.engine().id()))
                .orElseThrow();
    }

    private static Optional<EngineCandidate> highest(
            List<EngineCandidate> engines, ToLongFunction<EngineCandidate> score) {
        return engines.stream().max(Comparator.comparingLong(score));
    }

    private static PlacementDecision send(EngineCandidate engine, EngineCandidate home, PlacementReason reason) {
        return new PlacementDecision.Send(engine.engine(), engine == home ? PlacementReason.HOME : reason);
    }

    private static boolean isSteady(PlacementDemand demand, EngineCandidate engine) {
        return demand.maxPauseNanos() == 0 || engine.longestPauseNanos() <= demand.maxPauseNanos() * MAX_PAUSE_SHARE;
    }

    private static boolean isHarmless(PlacementDemand demand, EngineCandidate engine) {
        return isUndisturbed(demand, engine, MAX_PAUSE_SHARE) && isTimely(demand, engine);
    }

    private static boolean isUndisturbed(PlacementDemand demand, EngineCandidate engine, double maxShare) {
        return demand.maxPauseNanos() == 0
                || engine.streams() == 0
                || readNanos(demand, engine) <= demand.maxPauseNanos() * maxShare;
    }

    private static boolean isTimely(PlacementDemand demand, EngineCandidate engine) {
        return firstEventNanos(demand, engine) <= demand.leftNanos() - demand.marginNanos();
    }

    private static double firstEventNanos(PlacementDemand demand, EngineCandidate engine) {
        return readNanos(demand, engine) + engine.baseNanos();
    }

    private static double readNanos(PlacementDemand demand, EngineCandidate engine) {
        long unread = engine.cached() ? demand.promptTokens() - demand.sharedTokens() : demand.promptTokens();
        return (engine.waitingTokens() + unread) / engine.tokensPerNano();
    }
}
