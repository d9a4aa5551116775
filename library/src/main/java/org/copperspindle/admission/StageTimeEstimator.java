package org.copperspindle.admission;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.atomic.LongAccumulator;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.stage.StagePlan;

/**
 * Estimates how long requests that start now take, by the waits that the pools of their stages report.
 */
public final class StageTimeEstimator {

    /** Calls are shared with pieces of other requests: at medium load a call has twice the pieces of one request. */
    private static final int SHARED_CALL_FACTOR = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Function<String, PoolLoad> loads;
    private final FirstEventLatencies firstEventLatencies;

    /**
     * Creates an estimator.
     *
     * @param loads               returns the load of a pool by its name
     * @param firstEventLatencies time from an attempt to its first event, after the stages
     */
    public StageTimeEstimator(Function<String, PoolLoad> loads, FirstEventLatencies firstEventLatencies) {
        this.loads = loads;
        this.firstEventLatencies = firstEventLatencies;
    }

    /**
     * Estimates the times of a request that starts now.
     *
     * @param request the request
     * @return its times by the present loads
     */
    public StageTimeEstimate estimate(StagedRequest request) {
        StagePlan plan = plan(request);
        long firstEvent = firstEventLatencies.expectedNanos(request.route());
        long minimum = plan.finish((stage, start) -> expectedNanos(request, plan, stage));
        long estimated = plan.finish(
                (stage, start) -> waitNanos(request.stagePool(stage), start) + loadedNanos(request, plan, stage));
        return new StageTimeEstimate(minimum + firstEvent, estimated + firstEvent, estimated);
    }

    /**
     * Returns the longest wait of a request that starts now at any of its pools.
     *
     * @param request the request
     * @return nanoseconds
     */
    public long longestWaitNanos(StagedRequest request) {
        StagePlan plan = plan(request);
        LongAccumulator longest = new LongAccumulator(Math::max, 0);
        plan.finish((stage, start) -> {
            long wait = waitNanos(request.stagePool(stage), start);
            longest.accumulate(wait);
            return wait + loadedNanos(request, plan, stage);
        });
        return longest.get();
    }

    /**
     * Returns the pool of a request with the longest wait.
     *
     * @param request the request
     * @return name of the pool; empty if none has a wait
     */
    public Optional<String> bottleneck(StagedRequest request) {
        StagePlan plan = plan(request);
        return IntStream.range(0, plan.stages())
                .filter(stage -> plan.pieces(stage) > 0)
                .mapToObj(request::stagePool)
                .filter(pool -> waitNanos(pool, 0) > 0)
                .max(Comparator.comparingLong(pool -> waitNanos(pool, 0)));
    }

    /**
     * Returns the duration of a stage's call while its pool keeps up with its load.
     *
     * @param request a request
     * @param plan    plan of its stages
     * @param stage   number of the stage
     * @return nanoseconds
     */
    public static long expectedNanos(StagedRequest request, StagePlan plan, int stage) {
        return request.stageLimits(stage)
                .map((BatchLimits limits) ->
                        limits.expectedNanos(Math.min(limits.maxPieces(), SHARED_CALL_FACTOR * plan.pieces(stage))))
                .orElse(0L);
    }

    /**
     * Returns the duration of a full call of the slowest pool that a request uses.
     *
     * @param request the request
     * @return nanoseconds; 0 if none of its pools is known
     */
    public static long fullCallNanos(StagedRequest request) {
        return IntStream.range(0, request.route().stages().size())
                .filter(request::needsStage)
                .mapToObj(request::stageLimits)
                .flatMap(Optional::stream)
                .mapToLong(BatchLimits::fullCallNanos)
                .max()
                .orElse(0);
    }

    private static StagePlan plan(StagedRequest request) {
        return new StagePlan(request.route().stages(), request.pieces());
    }

    /** Returns the duration of a stage's call including the waiting pieces that are batched with it. */
    private long loadedNanos(StagedRequest request, StagePlan plan, int stage) {
        String pool = request.stagePool(stage);
        long wait = loads.apply(pool).waitNanos();
        return request.stageLimits(stage)
                .map(limits -> {
                    long waiting = wait * limits.maxPieces() / limits.fullCallNanos();
                    long pieces = Math.min(limits.maxPieces(), SHARED_CALL_FACTOR * plan.pieces(stage) + waiting);
                    return limits.expectedNanos((int) pieces);
                })
                .orElse(0L);
    }

    /**
     * Returns the wait of pieces that reach a pool after a delay: the work queued and expected before them that is
     * left by then.
     */
    private long waitNanos(String pool, long start) {
        PoolLoad load = loads.apply(pool);
        long queuedNanos = load.waitNanos();
        if (load.piecesPerSecond() > 0) {
            queuedNanos += (long) (load.expectedPieces() / load.piecesPerSecond() * NANOS_PER_SECOND);
        }
        return Math.max(0, queuedNanos - start);
    }
}
