package org.copperspindle.measure;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.verdict.Verdict;

/**
 * Records the metrics of an entry in Micrometer. Label values are names from the configuration in force or constants of
 * the program; labels that could have thousands of values are bounded.
 */
public final class MicrometerEntryMetrics implements EntryMetrics {

    private static final int MAX_ACCOUNT_LABELS = 200;
    private static final int MAX_REASON_LABELS = 64;
    private static final int MAX_STAGE_LABELS = 256;
    private static final Duration[] DURATION_BUCKETS = {
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(4),
        Duration.ofSeconds(6),
        Duration.ofSeconds(30)
    };

    private final MeterRegistry meters;
    private final BoundedLabels accounts = new BoundedLabels(MAX_ACCOUNT_LABELS);
    private final BoundedLabels reasons = new BoundedLabels(MAX_REASON_LABELS);
    private final BoundedLabels pipelines = new BoundedLabels(MAX_STAGE_LABELS);
    private final BoundedLabels stages = new BoundedLabels(MAX_STAGE_LABELS);

    /**
     * Creates the metrics.
     *
     * @param registry registry in which they are published
     */
    public MicrometerEntryMetrics(MetricsRegistry registry) {
        this.meters = registry.meters();
    }

    @Override
    public void answered(PipelineRequest request, PipelineAnswer answer, long nanos) {
        String pipelineLabel = pipelines.of(request.pipeline().name());
        String attained = String.valueOf(answer.successful());
        Counter.builder("copperspindle.requests")
                .description("Admitted requests answered; attained: whole and within the deadline")
                .tag("pipeline", pipelineLabel)
                .tag("priority", request.priority().name().toLowerCase(Locale.ROOT))
                .tag("verdict", answer.verdict().label())
                .tag("attained", attained)
                .register(meters)
                .increment();
        Counter.builder("copperspindle.account.requests")
                .description("Admitted requests answered, by client account")
                .tag("account", accounts.of(request.account().name()))
                .tag("attained", attained)
                .register(meters)
                .increment();
        Timer.builder("copperspindle.request.duration")
                .description("From admission to the answer")
                .tag("pipeline", pipelineLabel)
                .serviceLevelObjectives(DURATION_BUCKETS)
                .register(meters)
                .record(nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void attemptEnded(String pipeline, String stage, Verdict verdict, Duration busy) {
        String pipelineLabel = pipelines.of(pipeline);
        String stageLabel = stages.of(stage);
        Counter.builder("copperspindle.stage.attempts")
                .description("Attempts at stages that ended")
                .tag("pipeline", pipelineLabel)
                .tag("stage", stageLabel)
                .tag("verdict", verdict.label())
                .register(meters)
                .increment();
        Counter.builder("copperspindle.stage.busy.seconds")
                .description("Time that upstreams spent on attempts: the cost by stage")
                .tag("pipeline", pipelineLabel)
                .tag("stage", stageLabel)
                .register(meters)
                .increment(busy.toNanos() / 1e9);
    }

    @Override
    public void refused(String reason) {
        Counter.builder("copperspindle.refusals")
                .description("Requests refused on arrival, or later with the verdict NOT_RUN, by reason")
                .tag("reason", reasons.of(reason))
                .register(meters)
                .increment();
    }
}
