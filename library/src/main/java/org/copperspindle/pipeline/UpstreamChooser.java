package org.copperspindle.pipeline;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.config.PoolKind;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * The decisions that a {@link PipelineRun} requests from its entry.
 */
public interface UpstreamChooser {

    /**
     * Chooses an upstream for one attempt.
     *
     * @param stage   the stage
     * @param context results of earlier stages
     * @param tried   upstreams that earlier attempts of the stage used
     * @return the choice, empty if none may be used now
     */
    Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried);

    /**
     * Returns the kind of a pool.
     *
     * @param pool its name
     * @return its kind
     */
    PoolKind kind(String pool);

    /**
     * Takes one more attempt from the retry budget.
     *
     * @param request the request
     * @return false if the budget is spent
     */
    boolean mayRetry(PipelineRequest request);

    /**
     * Returns when a second attempt of a repeatable stage is worth starting in parallel to the first.
     *
     * @param request the request
     * @param stage   the stage
     * @return nanoseconds after the dispatch of the first, empty to start none, as under overload
     */
    default OptionalLong hedgeAfter(PipelineRequest request, StageSettings stage) {
        return OptionalLong.empty();
    }

    /**
     * Takes one parallel attempt from the hedge budget.
     *
     * @param request the request
     * @return false if the budget is spent or the fleet is overloaded
     */
    default boolean mayHedge(PipelineRequest request) {
        return false;
    }

    /**
     * Returns whether an attempt may wait for an upstream if none may be used now.
     *
     * @param request the request
     * @param stage   the stage
     * @return false if the request is refused instead
     */
    default boolean mayWait(PipelineRequest request, StageSettings stage) {
        return false;
    }

    /**
     * Queues the attempt for which the last choice was empty.
     *
     * @param request the request
     * @param now     nanoseconds of the timer service
     * @return nanoseconds from now after which further waiting is useless
     */
    default long enqueue(PipelineRequest request, long now) {
        throw new IllegalStateException("this chooser does not support waiting");
    }

    /**
     * Checks whether the remaining stages can still complete before the deadline.
     *
     * @param request    the request
     * @param stageIndex next stage, from 0
     * @param now        nanoseconds of the timer service
     * @return when the caller may retry if they cannot; empty if they can
     */
    default Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
        return Optional.empty();
    }

    /**
     * Returns the latest known reading of an agent's clock.
     *
     * @param upstream the upstream
     * @return the reading in microseconds, 0 if none is known
     */
    default long agentClock(UpstreamAnnouncement upstream) {
        return 0;
    }

    /**
     * Returns the configuration version that the request was admitted under.
     *
     * @return the version
     */
    long configVersion();
}
