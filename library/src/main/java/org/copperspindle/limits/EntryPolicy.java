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
 * The decisions of one entry under load and faults: which requests it admits, where attempts are sent, and when they
 * are abandoned and retried. Owned by the entry's decision ring; uses neither network nor clock.
 */
public interface EntryPolicy {

    /**
     * Applies a deployment.
     *
     * @param deployment the deployment
     */
    void configure(Deployment deployment);

    /**
     * Sets this entry's fraction of every account's rate. The initial fraction is 1.
     *
     * @param fraction from 0 to 1
     * @param now      monotonic time in nanoseconds
     */
    void setRateShare(double fraction, long now);

    /**
     * Admits a request if possible. An admitted request must be returned with {@link #release}.
     *
     * @param request the request
     * @param now     monotonic time in nanoseconds
     * @return empty if it is admitted, else the refusal
     */
    Optional<Refusal> tryAdmit(PipelineRequest request, long now);

    /**
     * Releases an admitted request.
     *
     * @param request the request
     */
    void release(PipelineRequest request);

    /**
     * Chooses an upstream for one attempt.
     *
     * @param request request of the attempt
     * @param routing requirements of the attempt
     * @param now     monotonic time in nanoseconds
     * @return the choice, empty if no upstream may be used now
     */
    Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routing, long now);

    /**
     * Records that an attempt was dispatched.
     *
     * @param request request of the attempt
     * @param stage   stage of the attempt
     * @param view    upstream of the attempt
     * @param now     monotonic time in nanoseconds
     */
    void dispatched(PipelineRequest request, StageSettings stage, UpstreamView view, long now);

    /**
     * Records that an attempt ended.
     *
     * @param report the outcome
     * @param now    monotonic time in nanoseconds
     */
    void onAttemptEnded(AttemptReport report, long now);

    /**
     * Returns the time after which an attempt without an outcome is reviewed.
     *
     * @param request request of the attempt
     * @param stage   stage of the attempt
     * @param now     monotonic time in nanoseconds
     * @return nanoseconds from now, empty if only the request's deadline ends it
     */
    OptionalLong attemptTimeout(PipelineRequest request, StageSettings stage, long now);

    /**
     * Returns whether an attempt that reached its timeout is abandoned. Called before {@link #mayRetry} and does not
     * use the budget.
     *
     * @param request  request of the attempt
     * @param stage    stage of the attempt
     * @param view     upstream of the attempt
     * @param ageNanos time since its dispatch in nanoseconds
     * @param now      monotonic time in nanoseconds
     * @return false if waiting is better; the attempt is reviewed again after half its age
     */
    boolean mayAbandon(PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now);

    /**
     * Takes a retry, that is an attempt beyond the first of its stage, from the budget.
     *
     * @param request request of the attempt
     * @return false if the budget is exhausted
     */
    boolean mayRetry(PipelineRequest request);

    /**
     * Returns whether an attempt without a usable upstream waits for one.
     *
     * @param request request of the attempt
     * @param stage   stage of the attempt
     * @return false if the request is refused instead
     */
    default boolean mayWait(PipelineRequest request, StageSettings stage) {
        return false;
    }

    /**
     * Adds an attempt to the queue of its pool.
     *
     * @param request request of the attempt
     * @param routing requirements of the attempt
     * @param now     monotonic time in nanoseconds
     * @return nanoseconds from now after which further waiting is useless
     */
    default long enqueue(PipelineRequest request, RoutingRequest routing, long now) {
        throw new IllegalStateException("this policy has no queue");
    }

    /**
     * Returns whether attempts wait for a pool.
     *
     * @param pool the pool
     * @return true if at least one attempt waits
     */
    default boolean hasWaiting(String pool) {
        return false;
    }

    /**
     * Removes the next request from the queue of a pool if an upstream may be used for it now.
     *
     * @param pool the pool
     * @param now  monotonic time in nanoseconds
     * @return the request to continue, empty if there is none
     */
    default Optional<PipelineRequest> next(String pool, long now) {
        return Optional.empty();
    }

    /**
     * Checks whether the remaining stages of a request can no longer complete before its deadline.
     *
     * @param request    the request
     * @param stageIndex index of the next stage, starting at 0
     * @param now        monotonic time in nanoseconds
     * @return the time after which the caller may retry if they cannot; empty if they can
     */
    default Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
        return Optional.empty();
    }
}
