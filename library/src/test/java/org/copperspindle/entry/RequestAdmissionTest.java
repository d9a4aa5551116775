package org.copperspindle.entry;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.limits.EntryPolicyFactory;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.routing.FleetView;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RequestAdmissionTest {

    /**
     * A caller resends a key after the configuration changed, the entry stopped, or the account exceeded its rate, and
     * is refused at admission. The first request may have run, so NOT_RUN would make the caller take a new key and run
     * it twice. Without a key sent by the caller, or for repeatable work, NOT_RUN is safe.
     */
    @ParameterizedTest
    @CsvSource({
        "unknown-key,         stranger,    install, k, MAY_HAVE_RUN",
        "unknown-key,         stranger,    install,  , NOT_RUN",
        "unknown-pipeline,    secret, removed, k, MAY_HAVE_RUN",
        "unknown-pipeline,    secret, removed,  , NOT_RUN",
        "not-allowed,         secret, print,   k, MAY_HAVE_RUN",
        "not-allowed,         secret, print,    , NOT_RUN",
        "rate,                secret, install, k, MAY_HAVE_RUN",
        "rate,                secret, install,  , NOT_RUN",
        "rate,                secret, lookup,  k, NOT_RUN",
        "not-serving,         secret, install, k, MAY_HAVE_RUN",
        "not-serving,         secret, install,  , NOT_RUN",
        "not-serving,         secret, lookup,  k, NOT_RUN"
    })
    void refusalOfAPossibleResendIsNotNotRun(String reason, String bearer, String service, String key, String verdict) {
        // An entry without capacity for any request refuses with the same reason as for an account over its rate.
        int maxInProgress = reason.equals("rate") ? 0 : 1;
        EntryPolicy policy = EntryPolicyFactory.of(PolicyKind.LEAST_LOAD, new FleetView(), maxInProgress);
        policy.configure(SimulatedDeployment.VIEW.deployment());
        RequestAdmission admission = new RequestAdmission(SimulatedDeployment.VIEW, policy);
        CallerRequest request = new CallerRequest(
                service,
                true,
                bearer,
                Optional.ofNullable(key),
                Optional.empty(),
                Optional.empty(),
                false,
                "{}".getBytes(StandardCharsets.UTF_8));

        AdmissionResult result =
                reason.equals("not-serving") ? admission.notServing(request) : admission.admit("r", request, 0);

        PipelineAnswer answer = ((AdmissionResult.Refused) result).answer();
        assertThat(answer.verdict().reason()).isEqualTo(reason);
        assertThat(answer.verdict().label()).isEqualTo(verdict);
        assertThat(answer.title().contains("same key")).isEqualTo(verdict.equals("MAY_HAVE_RUN"));
    }
}
