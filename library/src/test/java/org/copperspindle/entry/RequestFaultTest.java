package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;

import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.agent.SimulatedAgent;
import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.claims.ClaimLimits;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.claims.ClaimShards;
import org.copperspindle.claims.ClaimTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests faults at the worst moment of one request, each injected in a deployment in virtual time. */
class RequestFaultTest {

    private static final Duration LONG = Duration.ofSeconds(40);

    /** Shorter than the time that an agent keeps an outcome that is not queried. */
    private static final Duration SOON = Duration.ofSeconds(2);

    private final SimulatedDeployment deployment = new SimulatedDeployment(2, 2);

    /** Progress of an install through the first entry when the fault is injected. */
    enum Moment {
        CLAIMED,
        RAN,
        ANSWERED
    }

    /**
     * The entry crashes after the claim is committed and before its order arrives, or after the run, or after the
     * response and before the acknowledgement. The caller resends through the other entry, which finds the claim and
     * queries the agent: either the attempt never arrived and may run now, or its kept outcome is returned. In each
     * case there is one execution and a whole response.
     */
    @ParameterizedTest
    @EnumSource
    void resendAfterEntryCrashRunsOnce(Moment moment) {
        SimulatedCaller first = install(0);
        reach(moment, first);
        deployment.crash(deployment.entries().get(0));
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);

        assertThat(resent.verdict()).isEqualTo("RAN");
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
        if (moment == Moment.ANSWERED) {
            assertThat(resent.body()).isEqualTo(first.body());
        }
    }

    /**
     * The agent crashes after its upstream began to run the install. Its table is lost, so the outcome can't be known:
     * both the caller and a resend through the other entry get MAY_HAVE_RUN, and the install is never run again.
     */
    @Test
    void installIsNotRunAgainAfterAgentCrash() {
        SimulatedCaller first = install(0);
        reach(Moment.RAN, first);
        deployment.crash(agentOfInstall());
        deployment.until("the first answer", () -> first.ends() == 1);
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);

        assertThat(first.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(resent.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(resent.answer().orElseThrow().retryAfter()).isPresent();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /**
     * The upstream's VM leaves the membership while its install runs. Further queries are pointless, so the caller gets
     * MAY_HAVE_RUN at once, not at its deadline.
     */
    @Test
    void removedAgentIsReportedAtOnce() {
        SimulatedCaller caller = install(0);
        reach(Moment.RAN, caller);
        InetSocketAddress address = addressOfInstall();
        deployment.remove(address);
        deployment.crash(deployment.agent(address));
        deployment.until("the answer", () -> caller.ends() == 1);

        assertThat(caller.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(caller.endedAt()).isLessThan(Duration.ofSeconds(1).toNanos());
    }

    /**
     * The connection to the agent breaks between run and response. The entry reconnects and queries the kept outcome:
     * the caller gets its whole response, and neither an unrepeatable nor a repeatable stage runs twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"install", "lookup"})
    void keptOutcomeIsFetchedAfterALostConnection(String pipeline) {
        SimulatedCaller caller = deployment.call(0, pipeline, "k1", "w1");
        reach(Moment.RAN, caller);
        deployment.entries().get(0).cutAll();
        deployment.advance(LONG);

        assertThat(caller.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /**
     * Control is unreachable when the claim is requested. Nothing may be dispatched without it, so the caller is
     * refused with a retry time well before its deadline; with NOT_RUN if no other request can have the key. When
     * control is reachable again, the resend runs once.
     */
    @ParameterizedTest
    @CsvSource({"'',NOT_RUN", "k1,MAY_HAVE_RUN"})
    void withoutAClaimNothingRuns(String key, String verdict) {
        deployment.control().disconnected(true);
        SimulatedCaller refused = deployment.call(0, "install", key, "w1");
        deployment.until("the answer", () -> refused.ends() == 1);
        assertThat(refused.verdict()).isEqualTo(verdict);
        assertThat(refused.answer().orElseThrow().retryAfter()).isPresent();
        assertThat(refused.endedAt()).isLessThan(Duration.ofSeconds(4).toNanos());

        deployment.control().disconnected(false);
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /**
     * The claim is granted after its caller disconnected. The entry never dispatches the attempt and releases the
     * claim: a resend can use the key at once and need not query any agent.
     */
    @Test
    void claimGrantedTooLateIsReleased() {
        SimulatedCaller caller = install(0);
        deployment.entries().get(0).callerLeaves(caller);
        deployment.advance(LONG);
        assertThat(deployment.executions().count("w1")).isZero();

        assertThat(deployment.control().table().size()).isEqualTo(1);
        assertThat(claimAgain().result()).isEqualTo(ClaimResult.GRANTED);
    }

    /**
     * An entry crashes while its install runs; a resend through another entry queries the agent, and its caller
     * disconnects before the reply. The late outcome is still settled and then acknowledged. Without the
     * acknowledgement the agent would wait its whole drain time when it stops; a later resend gets the first outcome.
     */
    @Test
    void lateOutcomeOfAnInstallIsSettledAndAcknowledged() {
        SimulatedCaller first = install(0);
        reach(Moment.RAN, first);
        InetSocketAddress address = addressOfInstall();
        deployment.crash(deployment.entries().get(0));
        SimulatedCaller resent = install(1);
        SimulatedEntry entry = deployment.entries().get(1);
        deployment.until("the question", () -> entry.isOpen(address));
        entry.callerLeaves(resent);
        assertThat(resent.ends()).isZero();
        deployment.advance(SOON);
        assertThat(deployment.agent(address).unacknowledged()).isZero();
        assertThat(claimAgain().ended()).as("settled before it is acknowledged").isTrue();

        SimulatedCaller again = install(1);
        deployment.advance(LONG);
        assertThat(again.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /**
     * A lookup is abandoned because its agent can't be queried, and runs elsewhere. The first outcome arrives late:
     * nobody needs it, and it is acknowledged to its agent.
     */
    @Test
    void lateOutcomeOfALookupIsAcknowledged() {
        SimulatedCaller caller = deployment.call(0, "lookup", "k1", "w1");
        reach(Moment.RAN, caller);
        InetSocketAddress address = addressOfInstall();
        String attempt = caller.requestId() + "/" + deployment.stageOf("lookup").split("/")[1] + "/1";
        deployment.entries().get(0).notSent(new OutcomeQueryMessage(attempt, 1, 0, false));
        deployment.advance(SOON);

        assertThat(caller.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(2);
        assertThat(deployment.agent(address).unacknowledged()).isZero();
    }

    /** The same key with another body is a different request: it is refused and never runs. */
    @Test
    void sameKeyWithAnotherBodyIsRefused() {
        install(0);
        deployment.advance(LONG);
        SimulatedCaller other = deployment.call(1, "install", "k1", "w2");
        deployment.advance(LONG);

        assertThat(other.verdict()).isEqualTo("NOT_RUN");
        assertThat(other.answer().orElseThrow().status()).isEqualTo(409);
        assertThat(deployment.executions().count("w2")).isZero();
    }

    /**
     * A key is resent after its claim has expired. The outcome of the first run is not known any more, only that the
     * key was used: the resend is refused, but not with NOT_RUN, after which the caller would use a new key.
     */
    @Test
    void keyOfAnExpiredClaimIsRefused() {
        ClaimLimits limits = new ClaimLimits(Duration.ofSeconds(60), Duration.ofHours(1), 1024, 1024);
        SimulatedDeployment aging = new SimulatedDeployment(2, 2, limits);
        aging.call(0, "install", "k1", "w1");
        aging.advance(Duration.ofMinutes(50));
        SimulatedCaller late = aging.call(1, "install", "k1", "w1");
        aging.advance(LONG);

        assertThat(late.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(late.answer().orElseThrow().status()).isEqualTo(409);
        assertThat(aging.executions().count("w1")).isEqualTo(1);
    }

    /**
     * The caller of an install disconnects while it runs. The install continues, its claim is settled and its outcome
     * acknowledged, so that a resend gets it; the entry then holds no state of it.
     */
    @Test
    void installOutlivesItsCaller() {
        SimulatedCaller caller = install(0);
        reach(Moment.RAN, caller);
        deployment.entries().get(0).callerLeaves(caller);
        deployment.advance(LONG);
        assertThat(deployment.entries().get(0).driver().inProgress()).isZero();
        assertThat(claimAgain().result()).isEqualTo(ClaimResult.HELD);
        assertThat(claimAgain().ended()).as("settled").isTrue();

        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /**
     * A caller stops reading its stream. The bytes buffered for it are bounded: the response ends as broken, the
     * generation is cancelled, and the entry holds no state of it.
     */
    @Test
    void memoryHeldForASlowCallerIsBounded() {
        SimulatedCaller caller = deployment.call(0, "describe", "k1", "d1", true);
        deployment.until("the first piece", () -> !caller.text().isEmpty());
        caller.stall();
        deployment.until("the end", () -> caller.ends() == 1);

        assertThat(caller.successful()).isFalse();
        assertThat(caller.answer().orElseThrow().verdict().reason()).isEqualTo("slow-caller");
        assertThat(deployment.entries().get(0).driver().inProgress()).isZero();
        assertThat(deployment.entries().get(0).driver().counters().slowCallers())
                .isEqualTo(1);
    }

    /**
     * An install ran, and its response was lost with the connection to its caller. The caller resends the key while the
     * claims are unreachable, or while no upstream is known, so the resend is refused before its claim is looked up.
     * After NOT_RUN the caller would take a new key and install twice; so it is asked to retry with the same key, and
     * then gets the first outcome.
     */
    @ParameterizedTest
    @ValueSource(strings = {"claim-unavailable", "no-upstream"})
    void refusalOfAResendThatRanIsNotNotRun(String fault) {
        SimulatedCaller first = install(0);
        reach(Moment.ANSWERED, first);
        deployment.advance(LONG);
        deployment.control().disconnected(fault.equals("claim-unavailable"));
        if (fault.equals("no-upstream")) {
            deployment.entries().set(1, new SimulatedEntry(deployment, SimulatedDeployment.VIEW));
        }
        SimulatedCaller refused = install(1);
        deployment.until("the refusal", () -> refused.ends() == 1);
        assertThat(refused.reason()).isEqualTo(fault);
        assertThat(refused.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(refused.answer().orElseThrow().title()).contains("same key");
        assertThat(refused.answer().orElseThrow().retryAfter()).isPresent();

        deployment.control().disconnected(false);
        deployment.update();
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.body()).isEqualTo(first.body());
        assertThat(deployment.executions().count("w1")).isEqualTo(1);
    }

    /** No upstream can accept the request: it is refused at once, with a retry time. */
    @ParameterizedTest
    @CsvSource({"'',NOT_RUN", "k1,MAY_HAVE_RUN"})
    void requestWithoutAnUpstreamIsRefusedAtOnce(String key, String verdict) {
        deployment.remove(deployment.address("gallery", 0));
        deployment.remove(deployment.address("gallery", 0));
        long now = deployment.timers().nanoTime();
        SimulatedCaller caller = deployment.call(0, "install", key, "w1");

        assertThat(caller.ends()).isEqualTo(1);
        assertThat(caller.endedAt()).isEqualTo(now);
        assertThat(caller.verdict()).isEqualTo(verdict);
        assertThat(caller.answer().orElseThrow().retryAfter()).isPresent();
    }

    /** Returns the decision on another attempt to claim the same key. */
    private ClaimDecision claimAgain() {
        ClaimRequestMessage claim = new ClaimRequestMessage(
                0,
                "gallery",
                "k1",
                deployment.stageOf("install"),
                "other/call/1",
                "u",
                DeploymentView.sha256(SimulatedDeployment.body("w1")),
                1,
                0,
                ClaimShards.of("gallery", "k1"));
        ClaimTable table = deployment.control().table();
        return table.claim(claim, table.timeMillis());
    }

    private SimulatedCaller install(int entry) {
        return deployment.call(entry, "install", "k1", "w1");
    }

    private void reach(Moment moment, SimulatedCaller caller) {
        switch (moment) {
            case CLAIMED ->
                deployment.until("the claim", () -> deployment.control().table().size() == 1);
            case RAN ->
                deployment.until("the run", () -> deployment.executions().count("w1") == 1);
            default -> deployment.until("the answer", () -> caller.ends() == 1);
        }
    }

    private SimulatedAgent agentOfInstall() {
        return deployment.agent(addressOfInstall());
    }

    private InetSocketAddress addressOfInstall() {
        return deployment.entries().get(0).openConnections().stream()
                .filter(a -> a.equals(deployment.address("gallery", 0)) || a.equals(deployment.address("gallery", 1)))
                .findFirst()
                .orElseThrow();
    }
}
