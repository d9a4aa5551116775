package org.copperspindle.limits;

import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * The end of one attempt, told to the policy.
 *
 * @param request   request that it was made for
 * @param stage     stage that it ran
 * @param view      upstream that it was dispatched to
 * @param end       how it ended
 * @param tookNanos time since it was dispatched
 * @param inFlight  attempts that the agent reported with the outcome, -1 if it reported none
 */
public record AttemptReport(
        PipelineRequest request,
        StageSettings stage,
        UpstreamView view,
        AttemptEnd end,
        long tookNanos,
        int inFlight) {}
