package org.copperspindle.pipeline;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.config.PoolKind;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;

/**
 * What a {@link PipelineRun} asks of the entry that it runs on.
 */
public interface UpstreamChooser {

    /**
     * Chooses an upstream for one attempt.
     *
     * @param stage   the stage
     * @param context what earlier stages produced
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
     * Asks the retry budget for one more attempt.
     *
     * @param request the request
     * @return false if the budget is spent
     */
    boolean mayRetry(PipelineRequest request);

    /**
     * Says whether an attempt may wait for an upstream when none may be used now.
     *
     * @param request the request
     * @param stage   the stage
     * @return false if the request is refused instead
     */
    default boolean mayWait(PipelineRequest request, StageSettings stage) {
        return false;
    }

    /**
     * Judges whether the stages from one on can still be done in time.
     *
     * @param request    the request
     * @param stageIndex next stage, from 0
     * @param now        nanoseconds of the timer service
     * @return when the caller may come back, if they can't; empty if they can
     */
    default Optional<Duration> hopeless(PipelineRequest request, int stageIndex, long now) {
        return Optional.empty();
    }

    /**
     * Returns the configuration version that the entry serves under.
     *
     * @return the version
     */
    long configVersion();
}
