package org.copperspindle.config;

import java.time.Duration;
import java.util.List;

/**
 * A chain of stages under one deadline. A plain service is a pipeline of one stage.
 *
 * @param name     its name, part of the callers' path
 * @param deadline longest time from admission to the whole answer
 * @param priority priority where the request names none
 * @param stages   in their order, at least one
 * @param service  whether callers reach it as a plain service
 */
public record PipelineSettings(
        String name, Duration deadline, Priority priority, List<StageSettings> stages, boolean service) {

    /**
     * Says whether every stage may run more than once.
     *
     * @return false if a request of this pipeline needs a claim
     */
    public boolean repeatable() {
        return stages.stream().allMatch(StageSettings::repeatable);
    }
}
