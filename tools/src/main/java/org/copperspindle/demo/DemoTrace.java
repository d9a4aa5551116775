package org.copperspindle.demo;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.StageSettings;
import org.copperspindle.replay.Trace;
import org.copperspindle.replay.TraceRequest;

/**
 * Turns a trace into HTTP calls. Properties that a trace does not record are drawn from a seeded random generator:
 * which responses are streamed, and which calls are sent again, as after a lost response.
 */
final class DemoTrace {

    private static final int MIN_TOKENS = 4;
    private static final double STREAMED_FRACTION = 0.4;
    private static final double UNREPEATABLE_RESEND_FRACTION = 0.4;
    private static final double RESEND_FRACTION = 0.04;
    /** Short enough for the first transmission to be still in progress. */
    private static final long EARLY_RESEND_MILLIS = 5;
    /** Long enough for the first transmission to be finished, so that its stored outcome is returned. */
    private static final long LATE_RESEND_MILLIS = 700;

    private final Deployment deployment;
    private final SplittableRandom random;

    DemoTrace(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the calls in time order. */
    List<TraceCall> calls(Trace trace) {
        return trace.requests().stream().map(this::call).toList();
    }

    private TraceCall call(TraceRequest request) {
        PipelineSettings pipeline = deployment.pipeline(request.pipeline()).orElseThrow();
        boolean streamed = random.nextDouble() < STREAMED_FRACTION;
        double resendFraction = pipeline.repeatable() ? RESEND_FRACTION : UNREPEATABLE_RESEND_FRACTION;
        boolean resent = random.nextDouble() < resendFraction;
        long resendMillis = random.nextBoolean() ? EARLY_RESEND_MILLIS : LATE_RESEND_MILLIS;
        return new TraceCall(
                TimeUnit.NANOSECONDS.toMillis(request.atNanos()),
                request.account(),
                pipeline.name(),
                tokens(request, pipeline),
                streamed && !pipeline.service(),
                resent ? resendMillis : 0);
    }

    /** Returns the number of tokens that keeps the fake engine busy for the work time in the trace. */
    private int tokens(TraceRequest request, PipelineSettings pipeline) {
        for (StageSettings stage : pipeline.stages()) {
            boolean engine = deployment.pool(stage.pool()).orElseThrow().kind() == PoolKind.ENGINE;
            if (engine) {
                long generationNanos = request.workNanos().get(stage.name()) - DemoDeployment.FIRST_TOKEN.toNanos();
                return (int) Math.max(MIN_TOKENS, generationNanos / DemoDeployment.PER_TOKEN.toNanos());
            }
        }
        return 0;
    }
}
