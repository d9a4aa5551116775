package org.copperspindle.limits;

import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * The end of one attempt, as reported to the policy.
 *
 * @param request       request of the attempt
 * @param stage         stage that it ran
 * @param view          upstream that it was dispatched to
 * @param end           outcome of the attempt
 * @param durationNanos time since its dispatch in nanoseconds
 * @param inFlight      attempts that the agent reported with the outcome, -1 if it reported none
 */
public record AttemptReport(
        PipelineRequest request,
        StageSettings stage,
        UpstreamView view,
        AttemptEnd end,
        long durationNanos,
        int inFlight) {}
