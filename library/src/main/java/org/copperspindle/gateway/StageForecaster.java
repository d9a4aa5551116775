package org.copperspindle.gateway;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;

/**
 * Reckons how long requests take that begin now, by what the pools of their stages tell of their waits.
 */
final class StageForecaster {

    /** Calls are shared with pieces of other requests: twice a request's own pieces is what a call has at medium load. */
    private static final int SHARED_CALL = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Function<String, PoolLoad> loads;
    private final FirstEventLatencies firstEvents;

    /**
     * Creates a forecaster.
     *
     * @param loads       load of a pool by its name
     * @param firstEvents how long upstreams take after the stages
     */
    StageForecaster(Function<String, PoolLoad> loads, FirstEventLatencies firstEvents) {
        this.loads = loads;
        this.firstEvents = firstEvents;
    }

    StageForecast of(AdmittedRequest request) {
        StagePlan plan = plan(request);
        long upstream = firstEvents.nanos(request.route());
        long shortest = plan.finish((stage, begin) -> expectedNanos(request, plan, stage));
        long reckoned = plan.finish(
                (stage, begin) -> waitNanos(request.stagePool(stage), begin) + loadedNanos(request, plan, stage));
        return new StageForecast(shortest + upstream, reckoned + upstream, reckoned);
    }

    /** Returns the pool of a request's stages whose wait is the longest; empty if none has any. */
    Optional<String> bottleneck(AdmittedRequest request) {
        StagePlan plan = plan(request);
        return IntStream.range(0, plan.stages())
                .filter(stage -> plan.pieces(stage) > 0)
                .mapToObj(request::stagePool)
                .filter(pool -> waitNanos(pool, 0) > 0)
                .max(Comparator.comparingLong(pool -> waitNanos(pool, 0)));
    }

    /** Returns how long the call of a stage takes while its pool keeps up. */
    static long expectedNanos(AdmittedRequest request, StagePlan plan, int stage) {
        return request.stageLimits(stage)
                .map((BatchLimits limits) ->
                        limits.expectedNanos(Math.min(limits.maxPieces(), SHARED_CALL * plan.pieces(stage))))
                .orElse(0L);
    }

    private static StagePlan plan(AdmittedRequest request) {
        return new StagePlan(request.route().stages(), request.request().pieces());
    }

    /** Returns how long the call of a stage takes, with the pieces that wait now and go with it. */
    private long loadedNanos(AdmittedRequest request, StagePlan plan, int stage) {
        String pool = request.stagePool(stage);
        long wait = loads.apply(pool).waitNanos();
        return request.stageLimits(stage)
                .map(limits -> {
                    long waiting = wait * limits.maxPieces() / limits.fullCallNanos();
                    long pieces = Math.min(limits.maxPieces(), SHARED_CALL * plan.pieces(stage) + waiting);
                    return limits.expectedNanos((int) pieces);
                })
                .orElse(0L);
    }

    /** Returns how long pieces wait that come to a pool after a while: what stands before them by then. */
    private long waitNanos(String pool, long begin) {
        PoolLoad load = loads.apply(pool);
        long ahead = load.waitNanos();
        if (load.piecesPerSecond() > 0) {
            ahead += (long) (load.expectedPieces() / load.piecesPerSecond() * NANOS_PER_SECOND);
        }
        return Math.max(0, ahead - begin);
    }
}
