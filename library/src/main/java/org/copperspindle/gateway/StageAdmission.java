package org.copperspindle.gateway;

import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.Route;

/**
 * Decides when a request's stages begin.
 *
 * <p>The load it answers: a burst brings up to two and a half times what the stage pools make, for several seconds. Once
 * begun, a request holds results at their makers, which forget them after a few seconds; a request that is begun and
 * then waits between two stages wastes what was made for it. So only those begin that can meet their objective by what
 * the pools tell of their waits and by what was promised to requests before them. The others are told at once to come
 * back when the burst may be over. Those that have come back are held while nothing of them has been made, and begin when
 * the pools have nothing to do: sent away again, their callers would have waited twice for nothing.
 *
 * <p>Where kinds of requests share a pool, the less urgent one leaves room for the next request of the more urgent one.
 */
final class StageAdmission {

    /** Pools whose waits add up to less than this part of a full call have room for requests that are late already. */
    private static final double IDLE_CALLS = 0.33;

    /**
     * Part of the time that a request was held by which waits may be longer: in a load that lasts, pools are never idle,
     * and a caller that has come back would be sent away a second time.
     */
    private static final double IDLE_GROWTH = 0.1;

    /** Most requests held by one node: more than a burst leaves behind there, and those beyond would not begin in time. */
    private static final int MOST_HELD = 32;

    /**
     * Part of its objective for which a request is held that comes for the first time: what pools tell of their waits
     * changes from call to call. Longer, and callers would wait for an answer that could have been given at once.
     */
    private static final double FIRST_HOLD = 0.25;

    /** Shortest runs beyond its own that a held request must have left: one that begins late takes longer than that. */
    private static final double HOLD_RUNS = 2;

    /**
     * One held request begins at a time, at a distance of this part of a full call, so that all nodes together do not fill
     * the pools again.
     */
    private static final double RELEASE_CALLS = 0.55;

    /**
     * Part of a full call by which a more urgent kind must be early before less urgent requests are let in: what pools tell is
     * about so old. Much longer, and the less urgent kind would lose more than the urgent one gains.
     */
    private static final double URGENT_CALLS = 0.1;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final StageForecaster forecaster;
    private final UrgentKinds kinds = new UrgentKinds();
    private final StageExcess excess = new StageExcess();
    private int held;
    private long releasedAt;
    private boolean released;

    /**
     * Creates a gate.
     *
     * @param loads       load of a pool by its name
     * @param firstEvents how long upstreams take after the stages
     */
    StageAdmission(Function<String, PoolLoad> loads, FirstEventLatencies firstEvents) {
        this.forecaster = new StageForecaster(loads, firstEvents);
    }

    /**
     * Judges a request.
     *
     * @param wasHeld true if it was held before and is counted as such
     */
    StageAdmissionDecision judge(AdmittedRequest request, boolean wasHeld, long now) {
        if (!wasHeld) {
            kinds.asked(request);
        }
        long fullCall = fullCallNanos(request);
        StageForecast forecast = forecaster.of(request);
        long finish = forecast.reckoned() + excess.nanos(request.route(), now);
        long left = request.times().objectiveAt() - now;
        // Without what was learned: pools that are idle must get requests, or nothing would be learned any more.
        boolean idle = forecast.reckoned() - forecast.shortest()
                < IDLE_CALLS * fullCall + IDLE_GROWTH * (now - request.times().beganAt());
        boolean inTime = now - holdUntil(request, forecast.shortest()) < 0;
        Optional<String> inNeed = kindInNeed(request, now);
        StageAdmissionVerdict verdict = StageAdmissionVerdict.REFUSE;
        boolean ends = now + forecast.reckoned() - request.times().patienceAt() < 0;
        if (finish <= left && inNeed.isEmpty()
                || idle && ends && mayRelease(wasHeld, now, (long) (RELEASE_CALLS * fullCall))) {
            verdict = StageAdmissionVerdict.BEGIN;
        } else if (inTime && (wasHeld || held < MOST_HELD)) {
            verdict = StageAdmissionVerdict.HOLD;
        }
        return new StageAdmissionDecision(
                verdict, finish / NANOS_PER_MILLI, left / NANOS_PER_MILLI, held, forecast.reckonedStages(), inNeed);
    }

    /**
     * Learns from a request whose stages have run.
     *
     * @param route         its route
     * @param reckonedNanos how long they were reckoned to take, {@link StageAdmissionDecision#reckonedNanos}
     * @param tookNanos     how long they took
     * @param now           monotonic time in nanoseconds
     */
    void ran(Route route, long reckonedNanos, long tookNanos, long now) {
        excess.ran(route, reckonedNanos, tookNanos, now);
    }

    /** Counts requests that are held. */
    void held(int change) {
        held += change;
    }

    int deferredCount() {
        return held;
    }

    private static long holdUntil(AdmittedRequest request, long shortest) {
        RequestTimes times = request.times();
        if (times.returned()) {
            return times.patienceAt() - (long) ((1 + HOLD_RUNS) * shortest);
        }
        return times.beganAt() + (long) (request.route().objective().toNanos() * FIRST_HOLD);
    }

    /**
     * Returns the more urgent kind whose room a request would take: the pool that this kind waits for longest is one of the
     * request's own, and its next request would be late for that wait. By its own objective alone the kind with the
     * longest one would be let in until only it could be in time, whatever its rank.
     */
    private Optional<String> kindInNeed(AdmittedRequest request, long now) {
        return kinds.before(request, now).stream()
                .filter(urgent -> isLateForWaits(urgent, now)
                        && forecaster
                                .bottleneck(urgent)
                                .filter(request::needsPool)
                                .isPresent())
                .map(urgent -> urgent.route().name())
                .findFirst();
    }

    /** Says whether the next request of a kind would be late, and would not be if nothing waited: room would help it. */
    private boolean isLateForWaits(AdmittedRequest kind, long now) {
        StageForecast forecast = forecaster.of(kind);
        long reserve = (long) (URGENT_CALLS * fullCallNanos(kind));
        long spare = kind.route().objective().toNanos() - excess.nanos(kind.route(), now) - reserve;
        return forecast.shortest() <= spare && forecast.reckoned() > spare;
    }

    /** Returns the longest full call of the pools that the request needs. */
    private static long fullCallNanos(AdmittedRequest request) {
        return IntStream.range(0, request.route().stages().size())
                .filter(request::needsStage)
                .mapToObj(request::stageLimits)
                .flatMap(Optional::stream)
                .mapToLong(BatchLimits::fullCallNanos)
                .max()
                .orElse(0);
    }

    private boolean mayRelease(boolean wasHeld, long now, long distance) {
        if (!wasHeld && held == 0) {
            return true;
        }
        if (!wasHeld || released && now - releasedAt < distance) {
            return false;
        }
        released = true;
        releasedAt = now;
        return true;
    }
}
