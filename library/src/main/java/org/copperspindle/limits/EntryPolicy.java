package org.copperspindle.limits;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * Every choice that one entry makes under load and faults: what it takes on, where attempts go, when they are given up
 * and repeated. Owned by the entry's decision ring; touches neither network nor clock.
 */
public interface EntryPolicy {

    /**
     * Puts a deployment in force.
     *
     * @param deployment the deployment
     */
    void configure(Deployment deployment);

    /**
     * Takes this entry's part of every account's rate. A policy that is never told has the whole.
     *
     * @param fraction from 0 to 1
     * @param now      nanoseconds of the timer service
     */
    void setRateShare(double fraction, long now);

    /**
     * Decides whether a request is taken on. One that is must be given back with {@link #release}.
     *
     * @param request the request
     * @param now     nanoseconds of the timer service
     * @return empty if it is admitted, else why not
     */
    Optional<Refusal> tryAdmit(PipelineRequest request, long now);

    /**
     * Gives an admitted request back.
     *
     * @param request the request
     */
    void release(PipelineRequest request);

    /**
     * Chooses an upstream for one attempt.
     *
     * @param request request that it is made for
     * @param routing what the attempt needs
     * @param now     nanoseconds of the timer service
     * @return the choice, empty if none may be used now
     */
    Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routing, long now);

    /**
     * Notes that an attempt was dispatched.
     *
     * @param request request that it is made for
     * @param stage   stage that it runs
     * @param view    its upstream
     * @param now     nanoseconds of the timer service
     */
    void dispatched(PipelineRequest request, StageSettings stage, UpstreamView view, long now);

    /**
     * Notes that an attempt ended.
     *
     * @param report how
     * @param now    nanoseconds of the timer service
     */
    void ended(AttemptReport report, long now);

    /**
     * Returns when an attempt is to be looked at again if it has no outcome by then.
     *
     * @param request request that it is made for
     * @param stage   stage that it runs
     * @param now     nanoseconds of the timer service
     * @return nanoseconds from now, empty if only the request's deadline ends it
     */
    OptionalLong attemptTimeout(PipelineRequest request, StageSettings stage, long now);

    /**
     * Says whether an attempt that reached its timeout is given up. Asked before {@link #mayRetry}, spends nothing.
     *
     * @param request  request that it is made for
     * @param stage    stage that it runs
     * @param view     its upstream
     * @param ageNanos time since it was dispatched
     * @param now      nanoseconds of the timer service
     * @return false if it is better to go on waiting; it is looked at again after half its age
     */
    boolean mayAbandon(PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now);

    /**
     * Asks for one attempt more than the first of its stage.
     *
     * @param request request that it is made for
     * @return false if the budget is spent
     */
    boolean mayRetry(PipelineRequest request);

    /**
     * Says whether an attempt for which no upstream may be used now waits for one.
     *
     * @param request request that it is made for
     * @param stage   stage that it runs
     * @return false if the request is refused instead
     */
    default boolean mayWait(PipelineRequest request, StageSettings stage) {
        return false;
    }

    /**
     * Puts an attempt in line.
     *
     * @param request request that it is made for
     * @param routing what it needs
     * @param now     nanoseconds of the timer service
     * @return nanoseconds from now after which waiting on can't help any more
     */
    default long enqueue(PipelineRequest request, RoutingRequest routing, long now) {
        throw new IllegalStateException("this policy has no line");
    }

    /**
     * Says whether anything is in line for a pool.
     *
     * @param pool the pool
     * @return false if nothing waits
     */
    default boolean hasWaiting(String pool) {
        return false;
    }

    /**
     * Takes the next request out of line for which an upstream of a pool may be used now.
     *
     * @param pool the pool
     * @param now  nanoseconds of the timer service
     * @return the request to go on with, empty if none can
     */
    default Optional<PipelineRequest> next(String pool, long now) {
        return Optional.empty();
    }

    /**
     * Judges whether the stages of a request from one on can still be done in time.
     *
     * @param request    the request
     * @param stageIndex next stage, from 0
     * @param now        nanoseconds of the timer service
     * @return when the caller may come back, if they can't; empty if they can
     */
    default Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
        return Optional.empty();
    }
}
