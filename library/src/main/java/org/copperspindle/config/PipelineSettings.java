package org.copperspindle.config;

import java.time.Duration;
import java.util.List;

/**
 * A sequence of stages under a common deadline. A plain service is a pipeline of one stage.
 *
 * @param name     its name, part of the request path
 * @param deadline maximum time from admission to the complete response
 * @param priority default priority of its requests
 * @param stages   stages in execution order, at least one
 * @param service  whether it is exposed as a plain service
 */
public record PipelineSettings(
        String name, Duration deadline, Priority priority, List<StageSettings> stages, boolean service) {

    /**
     * Returns whether every stage may run more than once.
     *
     * @return false if a request of this pipeline needs a claim
     */
    public boolean repeatable() {
        return stages.stream().allMatch(StageSettings::repeatable);
    }
}
