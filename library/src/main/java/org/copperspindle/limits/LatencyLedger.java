package org.copperspindle.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.StageSettings;

/**
 * What the entry learned about the durations of each pipeline's stages.
 */
final class LatencyLedger {

    private final Map<String, Map<String, StageTail>> tails = new HashMap<>();

    void record(PipelineSettings pipeline, StageSettings stage, long nanos, long now) {
        tail(pipeline, stage).record(nanos, now);
    }

    StageTail tail(PipelineSettings pipeline, StageSettings stage) {
        return tails.computeIfAbsent(pipeline.name(), name -> new HashMap<>())
                .computeIfAbsent(stage.name(), name -> new StageTail());
    }

    /** Returns a quantile of one stage in nanoseconds, 0 while too little is known. */
    long quantile(PipelineSettings pipeline, StageSettings stage, Quantile quantile, long now) {
        Map<String, StageTail> stages = tails.get(pipeline.name());
        StageTail tail = stages == null ? null : stages.get(stage.name());
        return tail == null ? 0 : tail.quantile(quantile, now);
    }

    /** Returns the sum of a quantile over the stages from one on, in nanoseconds. */
    long rest(PipelineSettings pipeline, int stageIndex, Quantile quantile, long now) {
        List<StageSettings> stages = pipeline.stages();
        long sum = 0;
        for (int i = stageIndex; i < stages.size(); i++) {
            sum += quantile(pipeline, stages.get(i), quantile, now);
        }
        return sum;
    }
}
