package org.copperspindle.limits;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.StageSettings;

/**
 * Durations of each pipeline's stages as observed by the entry.
 */
final class LatencyTracker {

    private final Map<String, Map<String, StageLatency>> latencies = new HashMap<>();

    void record(PipelineSettings pipeline, StageSettings stage, long nanos, long now) {
        latency(pipeline, stage).record(nanos, now);
    }

    StageLatency latency(PipelineSettings pipeline, StageSettings stage) {
        return latencies
                .computeIfAbsent(pipeline.name(), name -> new HashMap<>())
                .computeIfAbsent(stage.name(), name -> new StageLatency());
    }

    /** Returns a quantile of one stage in nanoseconds, 0 while there are too few samples. */
    long quantile(PipelineSettings pipeline, StageSettings stage, Quantile quantile, long now) {
        Map<String, StageLatency> stages = latencies.get(pipeline.name());
        StageLatency latency = stages == null ? null : stages.get(stage.name());
        return latency == null ? 0 : latency.quantile(quantile, now);
    }

    /** Returns the sum of a quantile over the stages starting at an index, in nanoseconds. */
    long remaining(PipelineSettings pipeline, int stageIndex, Quantile quantile, long now) {
        List<StageSettings> stages = pipeline.stages();
        long sum = 0;
        for (int i = stageIndex; i < stages.size(); i++) {
            sum += quantile(pipeline, stages.get(i), quantile, now);
        }
        return sum;
    }
}
