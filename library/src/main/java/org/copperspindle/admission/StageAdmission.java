package org.copperspindle.admission;

import java.util.Optional;
import java.util.function.Function;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.Route;

/**
 * Decides when the stages of a request start.
 *
 * <p>Bursts bring up to two and a half times the throughput of the stage pools, for several seconds. A request that
 * has started holds results at their producers, which drop them after a few seconds; if it then waits between two
 * stages, the work done for it is wasted. So a request starts only if it can meet its objective, by the waits that
 * the pools report and the pieces that are expected from earlier requests. Others are soon told to retry when the
 * burst may be over. Callers that retry are deferred before their first stage, and start when the pools are idle:
 * refused once more, they would have waited twice in vain.
 *
 * <p>Where request kinds share a pool, the less urgent one leaves capacity for the next request of the more urgent
 * one.
 */
public final class StageAdmission {

    /** Fraction of a full call: pools with waits below it in total have capacity for requests that are already late. */
    private static final double IDLE_WAIT_FRACTION = 0.33;

    /**
     * Fraction of a request's deferral by which the waits may be longer: under a lasting load pools are never idle,
     * and a caller that retries would be refused a second time.
     */
    private static final double IDLE_WAIT_GROWTH = 0.1;

    /**
     * Maximum number of deferred requests on a node: more than a burst leaves there, and any beyond it would not
     * start in time.
     */
    private static final int MAX_DEFERRED = 32;

    /**
     * Fraction of its objective for which a first attempt of a caller is deferred: the reported waits change from
     * call to call. With a longer deferral callers would wait for a refusal that could be sent earlier.
     */
    private static final double FIRST_DEFERRAL_FRACTION = 0.25;

    /**
     * Shortest runs beyond its own that must fit into the time left to a deferred request: a run that starts late
     * takes longer than the shortest.
     */
    private static final double DEFERRED_SPARE_RUNS = 2;

    /**
     * Fraction of a full call between the starts of two deferred requests, so that all nodes together don't fill the
     * pools again.
     */
    private static final double START_INTERVAL_FRACTION = 0.55;

    /**
     * Fraction of a full call that a more urgent kind must have to spare before less urgent requests are admitted:
     * the reported loads are about that old. With a much larger one the less urgent kind would lose more than the
     * urgent one gains.
     */
    private static final double URGENT_MARGIN_FRACTION = 0.1;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final StageTimeEstimator estimator;
    private final UrgentRequestKinds kinds = new UrgentRequestKinds();
    private final StageOverruns overruns = new StageOverruns();
    private int deferredCount;
    private long lastStartAt;
    private boolean anyStarted;

    /**
     * Creates the admission.
     *
     * @param loads               returns the load of a pool by its name
     * @param firstEventLatencies time from an attempt to its first event, after the stages
     */
    public StageAdmission(Function<String, PoolLoad> loads, FirstEventLatencies firstEventLatencies) {
        this.estimator = new StageTimeEstimator(loads, firstEventLatencies);
    }

    /**
     * Returns how long the stages of a request that starts now are expected to take.
     *
     * @param request the request
     * @return nanoseconds
     */
    public long estimatedStagesNanos(StagedRequest request) {
        return estimator.estimate(request).stages();
    }

    /**
     * Decides on a request.
     *
     * @param request     the request
     * @param wasDeferred true if it was deferred before and is counted as such
     * @param now         monotonic time in nanoseconds
     * @return the decision
     */
    public StageAdmissionDecision decide(StagedRequest request, boolean wasDeferred, long now) {
        if (!wasDeferred) {
            kinds.observe(request);
        }
        long fullCall = StageTimeEstimator.fullCallNanos(request);
        StageTimeEstimate estimate = estimator.estimate(request);
        long correctedNanos = estimate.estimated() + overruns.nanos(request.route(), now);
        long remainingNanos = request.objectiveAt() - now;
        // Without the learned overrun: idle pools must get requests, or the overrun could not be measured again.
        boolean idle = estimate.estimated() - estimate.minimum()
                < IDLE_WAIT_FRACTION * fullCall + IDLE_WAIT_GROWTH * (now - request.admittedAt());
        boolean mayDefer = now - deferUntil(request, estimate.minimum()) < 0;
        Optional<String> underserved = underservedKind(request, now);
        StageAdmissionVerdict verdict = StageAdmissionVerdict.REFUSE;
        boolean endsInTime = now + estimate.estimated() - request.callerTimeoutAt() < 0;
        if (correctedNanos <= remainingNanos && underserved.isEmpty()
                || idle
                        && endsInTime
                        && mayStartDeferred(wasDeferred, now, (long) (START_INTERVAL_FRACTION * fullCall))) {
            verdict = StageAdmissionVerdict.BEGIN;
        } else if (mayDefer && (wasDeferred || deferredCount < MAX_DEFERRED)) {
            verdict = StageAdmissionVerdict.HOLD;
        }
        return new StageAdmissionDecision(
                verdict,
                correctedNanos / NANOS_PER_MILLI,
                remainingNanos / NANOS_PER_MILLI,
                deferredCount,
                estimate.stages(),
                underserved);
    }

    /**
     * Records the stage duration of a request.
     *
     * @param route          its route
     * @param estimatedNanos estimated duration of its stages, {@link StageAdmissionDecision#estimatedStagesNanos}
     * @param actualNanos    measured duration of its stages
     * @param now            monotonic time in nanoseconds
     */
    public void recordStages(Route route, long estimatedNanos, long actualNanos, long now) {
        overruns.observe(route, estimatedNanos, actualNanos, now);
    }

    /**
     * Adds to the number of deferred requests.
     *
     * @param delta number to add, negative to subtract
     */
    public void adjustDeferred(int delta) {
        deferredCount += delta;
    }

    /**
     * Returns how many requests this node defers.
     *
     * @return a count
     */
    public int deferredCount() {
        return deferredCount;
    }

    private static long deferUntil(StagedRequest request, long minimum) {
        if (request.retried()) {
            return request.callerTimeoutAt() - (long) ((1 + DEFERRED_SPARE_RUNS) * minimum);
        }
        return request.admittedAt() + (long) (request.route().objective().toNanos() * FIRST_DEFERRAL_FRACTION);
    }

    /**
     * Returns the more urgent request kind that is underserved and whose capacity the request would take: the pool
     * with that kind's longest wait is also used by the request, and the kind's next request would be late because of
     * that wait. Judged by objectives alone, the kind with the longest objective would be admitted until only it
     * could be in time, whatever its rank.
     */
    private Optional<String> underservedKind(StagedRequest request, long now) {
        return kinds.moreUrgentThan(request, now).stream()
                .filter(urgent -> isLateDueToQueueing(urgent, now)
                        && estimator
                                .bottleneck(urgent)
                                .filter(request::needsPool)
                                .isPresent())
                .map(urgent -> urgent.route().name())
                .findFirst();
    }

    /**
     * Returns whether the next request of a kind would be late, but not without queueing, so that free capacity would
     * help it.
     */
    private boolean isLateDueToQueueing(StagedRequest kind, long now) {
        StageTimeEstimate estimate = estimator.estimate(kind);
        long margin = (long) (URGENT_MARGIN_FRACTION * StageTimeEstimator.fullCallNanos(kind));
        long available = kind.route().objective().toNanos() - overruns.nanos(kind.route(), now) - margin;
        return estimate.minimum() <= available && estimate.estimated() > available;
    }

    private boolean mayStartDeferred(boolean wasDeferred, long now, long interval) {
        if (!wasDeferred && deferredCount == 0) {
            return true;
        }
        if (!wasDeferred || anyStarted && now - lastStartAt < interval) {
            return false;
        }
        anyStarted = true;
        lastStartAt = now;
        return true;
    }
}
