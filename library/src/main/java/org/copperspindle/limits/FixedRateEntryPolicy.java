package org.copperspindle.limits;

import java.util.Optional;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * Base class of the reference policies: they do not learn, admit by fixed rates and retry without a budget.
 */
abstract class FixedRateEntryPolicy implements EntryPolicy {

    private final AdmissionPolicy admission;

    FixedRateEntryPolicy(int maxInProgress) {
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        // The policy keeps no state that depends on the deployment.
    }

    @Override
    public void setRateShare(double fraction, long now) {
        admission.setRateShare(fraction, now);
    }

    @Override
    public Optional<Refusal> tryAdmit(PipelineRequest request, long now) {
        return admission
                .tryAdmit(request.account(), request.priority(), now)
                .map(retryAfter -> new Refusal(Refusal.RATE, retryAfter));
    }

    @Override
    public void release(PipelineRequest request) {
        admission.release(request.account(), request.priority());
    }

    @Override
    public void dispatched(PipelineRequest request, StageSettings stage, UpstreamView view, long now) {
        view.dispatched();
    }

    @Override
    public void onAttemptEnded(AttemptReport report, long now) {
        report.view().onAttemptEnded(report.inFlight());
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return true;
    }
}
