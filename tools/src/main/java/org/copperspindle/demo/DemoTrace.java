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
 * Turns a trace into calls over HTTP. What a trace doesn't say is drawn from a seed: which answers are taken as a stream,
 * and which calls are sent again, as after a lost answer.
 */
final class DemoTrace {

    private static final int FEWEST_TOKENS = 4;
    private static final double STREAMED_SHARE = 0.4;
    private static final double RESENT_SHARE_UNREPEATABLE = 0.4;
    private static final double RESENT_SHARE = 0.04;
    /** Soon enough to meet the first sending in progress. */
    private static final long RESENT_SOON_MILLIS = 5;
    /** Late enough to meet its kept outcome. */
    private static final long RESENT_LATE_MILLIS = 700;

    private final Deployment deployment;
    private final SplittableRandom random;

    DemoTrace(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
    }

    /** Returns the calls in the order of their times. */
    List<TraceCall> calls(Trace trace) {
        return trace.requests().stream().map(this::call).toList();
    }

    private TraceCall call(TraceRequest request) {
        PipelineSettings pipeline = deployment.pipeline(request.pipeline()).orElseThrow();
        boolean streamed = random.nextDouble() < STREAMED_SHARE;
        double resentShare = pipeline.repeatable() ? RESENT_SHARE : RESENT_SHARE_UNREPEATABLE;
        boolean resent = random.nextDouble() < resentShare;
        long resendMillis = random.nextBoolean() ? RESENT_SOON_MILLIS : RESENT_LATE_MILLIS;
        return new TraceCall(
                TimeUnit.NANOSECONDS.toMillis(request.atNanos()),
                request.account(),
                pipeline.name(),
                tokens(request, pipeline),
                streamed && !pipeline.service(),
                resent ? resendMillis : 0);
    }

    /** Returns the tokens that keep the fake engine busy for the work that the trace states. */
    private int tokens(TraceRequest request, PipelineSettings pipeline) {
        for (StageSettings stage : pipeline.stages()) {
            boolean engine = deployment.pool(stage.pool()).orElseThrow().kind() == PoolKind.ENGINE;
            if (engine) {
                long left = request.workNanos().get(stage.name()) - DemoDeployment.FIRST_TOKEN.toNanos();
                return (int) Math.max(FEWEST_TOKENS, left / DemoDeployment.PER_TOKEN.toNanos());
            }
        }
        return 0;
    }
}
