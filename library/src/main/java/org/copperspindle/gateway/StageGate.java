package org.copperspindle.gateway;

import java.time.Duration;
import java.util.function.ToLongFunction;

import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.UpstreamPool;

/**
 * Decides when a request's stages begin.
 *
 * <p>The load it answers: a burst brings up to two and a half times what the stage pools make, for several seconds. Once
 * begun, a request holds results at their makers, which forget them after a few seconds; a request that is begun and
 * then waits between two stages wastes what was made for it. So only those begin that can meet their objective by what
 * the pools tell of their waits. The others are held while nothing of them has been made, and begin when the pools have
 * nothing to do; those that would not come to that in their time are refused at once.
 */
final class StageGate {

    /** From the last stage to the first event of an idle engine, with its inputs fetched. */
    static final Duration ENGINE_FIRST_EVENT = Duration.ofMillis(120);

    /** Calls are shared with pieces of other requests: twice a request's own pieces is what a call has at medium load. */
    private static final int SHARED_CALL = 2;

    /** Pools whose waits add up to less have room for requests that are late already: a third of a call. */
    private static final long IDLE_NANOS = Duration.ofMillis(90).toNanos();

    /**
     * Most requests held by one node. A burst of six seconds leaves about a hundred behind in a group of seven nodes;
     * those beyond twice that would not begin before their time is over.
     */
    private static final int MOST_HELD = 32;

    /** Time beyond the shortest run that a held request must have left; a burst does not end sooner. */
    private static final Duration HOLD_RESERVE = Duration.ofMillis(1500);

    /** One held request begins at a time, at this distance, so that all nodes together do not fill the pools again. */
    private static final long RELEASE_NANOS = Duration.ofMillis(150).toNanos();

    private final ToLongFunction<String> waitNanos;
    private int held;
    private long releasedAt;
    private boolean released;

    /**
     * Creates a gate.
     *
     * @param waitNanos how long a group would wait for a pool now, by the pool's name
     */
    StageGate(ToLongFunction<String> waitNanos) {
        this.waitNanos = waitNanos;
    }

    /** Judges a request; {@code wasHeld} says that it was held before and is counted as such. */
    GateVerdict judge(AdmittedRequest request, boolean wasHeld, long now) {
        StagePlan plan =
                new StagePlan(request.route().stages(), request.request().pieces());
        long shortest = plan.longest(stage -> expectedNanos(request, plan, stage)) + ENGINE_FIRST_EVENT.toNanos();
        long waits = plan.longest(stage -> waitNanos.applyAsLong(request.stagePool(stage)));
        boolean onTime = now + shortest + waits - request.objectiveAt() <= 0;
        if (onTime || waits < IDLE_NANOS && mayRelease(wasHeld, now)) {
            return GateVerdict.BEGIN;
        }
        boolean inTime = now + shortest + HOLD_RESERVE.toNanos() - request.endAt() < 0;
        return inTime && (wasHeld || held < MOST_HELD) ? GateVerdict.HOLD : GateVerdict.REFUSE;
    }

    /** Counts requests that are held. */
    void held(int change) {
        held += change;
    }

    int held() {
        return held;
    }

    static long expectedNanos(AdmittedRequest request, StagePlan plan, int stage) {
        return request.table()
                .findPool(request.stagePool(stage))
                .flatMap(UpstreamPool::batch)
                .map((BatchLimits limits) ->
                        limits.expectedNanos(Math.min(limits.batch(), SHARED_CALL * plan.pieces(stage))))
                .orElse(0L);
    }

    private boolean mayRelease(boolean wasHeld, long now) {
        if (!wasHeld && held == 0) {
            return true;
        }
        if (!wasHeld || released && now - releasedAt < RELEASE_NANOS) {
            return false;
        }
        released = true;
        releasedAt = now;
        return true;
    }
}
