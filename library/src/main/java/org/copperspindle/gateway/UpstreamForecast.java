package org.copperspindle.gateway;

import java.util.Optional;
import java.util.function.Predicate;

import org.copperspindle.discovery.UpstreamRecord;

/**
 * Which upstream one request is expected to be sent to, by the rule that will choose it.
 */
final class UpstreamForecast {

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamEligibility eligibility;

    /**
     * Creates the forecast of a request.
     *
     * @param context     the shared components
     * @param admitted    the request
     * @param eligibility which upstreams may get it
     */
    UpstreamForecast(GatewayContext context, AdmittedRequest admitted, UpstreamEligibility eligibility) {
        this.context = context;
        this.admitted = admitted;
        this.eligibility = eligibility;
    }

    /**
     * Returns the upstream that the request would be sent to if its stages started now and took some time.
     *
     * @param stagesNanos duration of the stages in nanoseconds
     */
    Optional<UpstreamRecord> afterNanos(long stagesNanos) {
        return afterNanos(eligibility, stagesNanos);
    }

    /**
     * Returns the failure domain of the upstream that the request is expected to be sent to after its stages. Its
     * large stage results are produced there if that costs no time, because traffic between failure domains is the
     * largest cost of stage work.
     */
    Optional<String> failureDomainAfterStages() {
        long stagesNanos = context.stageAdmission().estimatedStagesNanos(admitted);
        return afterNanos(eligibility::isExpected, stagesNanos).map(UpstreamRecord::failureDomain);
    }

    private Optional<UpstreamRecord> afterNanos(Predicate<UpstreamRecord> permitted, long stagesNanos) {
        long now = context.timers().nanoTime();
        return UpstreamSearch.predict(context, admitted, permitted, stagesNanos, now);
    }
}
