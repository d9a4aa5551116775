package org.copperspindle.admission;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;

/**
 * Forecast by the reported loads of the pools and the starts that they don't contain yet.
 */
public final class LoadForecast implements StartForecast {

    /**
     * A start reaches its node within some milliseconds, and the node and the dispatcher of a pool each report at
     * intervals of 80 ms: after two intervals the pieces of the start are part of the reported load.
     */
    private static final long UNREPORTED_NANOS = Duration.ofMillis(160).toNanos();

    private static final double NANOS_PER_SECOND = 1e9;

    private final Function<String, PoolLoad> loads;
    private final LongSupplier clock;
    private final StageTimeEstimator estimator;
    private final Deque<StartedPieces> started = new ArrayDeque<>();
    private final Map<String, Integer> unreportedPieces = new HashMap<>();
    private final Map<String, PoolLoad> reported = new HashMap<>();
    private boolean inRound;

    /**
     * Creates a forecast.
     *
     * @param loads     returns the reported load of a pool by its name
     * @param latencies time from an attempt to its first event, after the stages
     * @param clock     monotonic time in nanoseconds
     */
    public LoadForecast(Function<String, PoolLoad> loads, FirstEventLatencies latencies, LongSupplier clock) {
        this.loads = loads;
        this.clock = clock;
        this.estimator = new StageTimeEstimator(this::load, latencies);
    }

    @Override
    public void beginRound() {
        inRound = true;
    }

    @Override
    public void endRound() {
        inRound = false;
        reported.clear();
    }

    @Override
    public long shortestNanos(StagedRequest request) {
        return estimator.estimate(request).minimum();
    }

    @Override
    public long queueingNanos(StagedRequest request) {
        StageTimeEstimate estimate = estimator.estimate(request);
        return Math.max(0, estimate.estimated() - estimate.minimum());
    }

    @Override
    public long longestWaitNanos(StagedRequest request) {
        return estimator.longestWaitNanos(request);
    }

    @Override
    public long fullCallNanos(StagedRequest request) {
        return StageTimeEstimator.fullCallNanos(request);
    }

    @Override
    public long costNanos(StagedRequest request) {
        long longest = 0;
        for (int stage = 0; stage < request.route().stages().size(); stage++) {
            if (request.needsStage(stage)) {
                longest = Math.max(longest, costNanos(request, request.stagePool(stage)));
            }
        }
        return longest;
    }

    @Override
    public long costNanos(StagedRequest request, String pool) {
        double perSecond = reportedLoad(pool).piecesPerSecond();
        double nanos = 0;
        for (int stage = 0; stage < request.route().stages().size(); stage++) {
            if (request.needsStage(stage) && request.stagePool(stage).equals(pool)) {
                int pieces = request.pieces().get(stage);
                nanos += perSecond > 0
                        ? pieces / perSecond * NANOS_PER_SECOND
                        : request.stageLimits(stage)
                                .map(limits -> pieces * nanosPerPiece(limits))
                                .orElse(0.0);
            }
        }
        return (long) nanos;
    }

    @Override
    public void recordStart(StagedRequest request) {
        long now = clock.getAsLong();
        expire(now);
        for (int stage = 0; stage < request.route().stages().size(); stage++) {
            if (request.needsStage(stage)) {
                int pieces = request.pieces().get(stage);
                started.add(new StartedPieces(now, request.stagePool(stage), pieces));
                unreportedPieces.merge(request.stagePool(stage), pieces, Integer::sum);
            }
        }
    }

    /** Returns the time of a piece in full calls of one upstream: that of a pool whose throughput is unknown. */
    private static double nanosPerPiece(BatchLimits limits) {
        return (double) limits.fullCallNanos() / limits.maxPieces();
    }

    private PoolLoad load(String pool) {
        long now = clock.getAsLong();
        expire(now);
        PoolLoad load = reportedLoad(pool);
        int unreported = unreportedPieces.getOrDefault(pool, 0);
        return unreported == 0 ? load : load.withExpectedPieces(load.expectedPieces() + unreported);
    }

    private PoolLoad reportedLoad(String pool) {
        return inRound ? reported.computeIfAbsent(pool, loads) : loads.apply(pool);
    }

    private void expire(long now) {
        while (!started.isEmpty() && now - started.peek().at() >= UNREPORTED_NANOS) {
            StartedPieces oldest = started.poll();
            unreportedPieces.computeIfPresent(
                    oldest.pool(), (pool, pieces) -> pieces > oldest.pieces() ? pieces - oldest.pieces() : null);
        }
    }

    private record StartedPieces(long at, String pool, int pieces) {}
}
