package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;

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

/** Faults at the worst moment of one request, each brought about on purpose in a deployment in virtual time. */
class WorstMomentTest {

    private static final Duration LONG = Duration.ofSeconds(40);

    private final SimulatedDeployment deployment = new SimulatedDeployment(2, 2);

    /** How far an install through the first entry has come when the fault strikes. */
    enum Moment {
        CLAIMED,
        RAN,
        ANSWERED
    }

    /**
     * The entry dies after the claim is committed and before its order arrives, or after the run, or after the answer and
     * before the acknowledgement. The caller resends through the other entry, which finds the claim and asks the agent:
     * never arrived, so it may run now; or the kept outcome. One execution and a whole answer in each case.
     */
    @ParameterizedTest
    @EnumSource
    void resendAfterTheEntryDiedRunsOnce(Moment moment) {
        SimulatedCaller first = install(0);
        reach(moment, first);
        deployment.crash(deployment.entries().get(0));
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);

        assertThat(resent.verdict()).isEqualTo("RAN");
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.book().count("w1")).isEqualTo(1);
        if (moment == Moment.ANSWERED) {
            assertThat(resent.body()).isEqualTo(first.body());
        }
    }

    /**
     * The agent dies after its upstream began to run the install. Its table is gone, so nobody can say how it ended: both
     * the caller and a resend through the other entry are told MAY_HAVE_RUN, and it is never run again.
     */
    @Test
    void installWhoseAgentDiedIsNeverRunAgain() {
        SimulatedCaller first = install(0);
        reach(Moment.RAN, first);
        deployment.crash(holder());
        deployment.until("the first answer", () -> first.ends() == 1);
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);

        assertThat(first.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(resent.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(resent.answer().orElseThrow().retryAfter()).isPresent();
        assertThat(deployment.book().count("w1")).isEqualTo(1);
    }

    /**
     * The upstream's VM leaves the membership while its install runs. Asking on would be in vain, so the caller is told
     * MAY_HAVE_RUN at once, not at its deadline.
     */
    @Test
    void goneAgentIsReportedAtOnce() {
        SimulatedCaller caller = install(0);
        reach(Moment.RAN, caller);
        InetSocketAddress address = holderAddress();
        deployment.remove(address);
        deployment.crash(deployment.agent(address));
        deployment.until("the answer", () -> caller.ends() == 1);

        assertThat(caller.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(caller.endedAt()).isLessThan(Duration.ofSeconds(1).toNanos());
    }

    /**
     * The connection to the agent breaks between run and answer. The entry connects again and asks for the kept outcome:
     * the caller gets its whole answer, and neither an unrepeatable nor a repeatable stage is paid for twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"install", "lookup"})
    void keptOutcomeIsFetchedAfterALostConnection(String pipeline) {
        SimulatedCaller caller = deployment.call(0, pipeline, "k1", "w1");
        reach(Moment.RAN, caller);
        deployment.entries().get(0).cutAll();
        deployment.advance(LONG);

        assertThat(caller.successful()).isTrue();
        assertThat(deployment.book().count("w1")).isEqualTo(1);
    }

    /**
     * Control is cut off when the claim is asked for. Nothing may be dispatched without it, so the caller is refused with
     * a time to come back well before its deadline: NOT_RUN if no other arrival can have the key. When control is back,
     * the resend runs, once.
     */
    @ParameterizedTest
    @CsvSource({"'',NOT_RUN", "k1,MAY_HAVE_RUN"})
    void withoutAClaimNothingRuns(String key, String verdict) {
        deployment.control().away(true);
        SimulatedCaller refused = deployment.call(0, "install", key, "w1");
        deployment.until("the answer", () -> refused.ends() == 1);
        assertThat(refused.verdict()).isEqualTo(verdict);
        assertThat(refused.answer().orElseThrow().retryAfter()).isPresent();
        assertThat(refused.endedAt()).isLessThan(Duration.ofSeconds(4).toNanos());

        deployment.control().away(false);
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.book().count("w1")).isEqualTo(1);
    }

    /**
     * The claim is granted after its caller has left. The entry never dispatches it, and says so to the claims: the key is
     * free at once for a resend, which need not ask any agent.
     */
    @Test
    void claimGrantedTooLateIsGivenBack() {
        SimulatedCaller caller = install(0);
        deployment.entries().get(0).callerLeaves(caller);
        deployment.advance(LONG);
        assertThat(deployment.book().count("w1")).isZero();

        assertThat(deployment.control().table().size()).isEqualTo(1);
        assertThat(claimAnew().result()).isEqualTo(ClaimResult.GRANTED);
    }

    /** The same key with another body is another request that borrows a key: it is refused and never runs. */
    @Test
    void sameKeyWithAnotherBodyIsRefused() {
        install(0);
        deployment.advance(LONG);
        SimulatedCaller other = deployment.call(1, "install", "k1", "w2");
        deployment.advance(LONG);

        assertThat(other.verdict()).isEqualTo("NOT_RUN");
        assertThat(other.answer().orElseThrow().status()).isEqualTo(409);
        assertThat(deployment.book().count("w2")).isZero();
    }

    /**
     * A key is resent after its claim has ended. What became of the first run is not known any more, but that the key was
     * used is: the resend is refused, and is not told NOT_RUN, which would send the caller off with a new key.
     */
    @Test
    void keyTooOldToBeJudgedIsRefused() {
        ClaimLimits limits = new ClaimLimits(Duration.ofSeconds(60), Duration.ofHours(1), 1024, 1024);
        SimulatedDeployment aging = new SimulatedDeployment(2, 2, limits);
        aging.call(0, "install", "k1", "w1");
        aging.advance(Duration.ofMinutes(50));
        SimulatedCaller late = aging.call(1, "install", "k1", "w1");
        aging.advance(LONG);

        assertThat(late.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(late.answer().orElseThrow().status()).isEqualTo(409);
        assertThat(aging.book().count("w1")).isEqualTo(1);
    }

    /**
     * The caller of an install leaves while it runs. The install goes on, its claim is settled and its outcome
     * acknowledged, so that a resend gets it; the entry then holds nothing of it.
     */
    @Test
    void installOutlivesItsCaller() {
        SimulatedCaller caller = install(0);
        reach(Moment.RAN, caller);
        deployment.entries().get(0).callerLeaves(caller);
        deployment.advance(LONG);
        assertThat(deployment.entries().get(0).driver().inProgress()).isZero();
        assertThat(claimAnew().result()).isEqualTo(ClaimResult.HELD);
        assertThat(claimAnew().ended()).as("settled").isTrue();

        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.successful()).isTrue();
        assertThat(deployment.book().count("w1")).isEqualTo(1);
    }

    /**
     * A caller stops reading its stream. What waits for it is bounded: the answer ends as broken, the generation is
     * cancelled, and the entry holds nothing of it any more.
     */
    @Test
    void slowCallerHoldsOnlyItsOwnBoundedMemory() {
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
     * An install ran, and its answer was lost with the connection to its caller. The caller resends the key while the
     * claims can't be reached, or while no upstream is known, so the resend is refused before its claim is looked up. Told
     * NOT_RUN, it would take a new key and install twice; so it is told to ask again, and then gets the first outcome.
     */
    @ParameterizedTest
    @ValueSource(strings = {"claim-unavailable", "no-upstream"})
    void refusedResendOfAKeyThatRanIsNotToldNotRun(String fault) {
        SimulatedCaller first = install(0);
        reach(Moment.ANSWERED, first);
        deployment.advance(LONG);
        deployment.control().away(fault.equals("claim-unavailable"));
        if (fault.equals("no-upstream")) {
            deployment.entries().set(1, new SimulatedEntry(deployment, SimulatedDeployment.VIEW));
        }
        SimulatedCaller refused = install(1);
        deployment.until("the refusal", () -> refused.ends() == 1);
        assertThat(refused.reason()).isEqualTo(fault);
        assertThat(refused.verdict()).isEqualTo("MAY_HAVE_RUN");
        assertThat(refused.answer().orElseThrow().title()).contains("same key");
        assertThat(refused.answer().orElseThrow().retryAfter()).isPresent();

        deployment.control().away(false);
        deployment.update();
        SimulatedCaller resent = install(1);
        deployment.advance(LONG);
        assertThat(resent.body()).isEqualTo(first.body());
        assertThat(deployment.book().count("w1")).isEqualTo(1);
    }

    /** No upstream can take the request: the module gives it up and says so at once, with a time to come back. */
    @ParameterizedTest
    @CsvSource({"'',NOT_RUN", "k1,MAY_HAVE_RUN"})
    void requestGivenUpIsAnsweredAtOnce(String key, String verdict) {
        deployment.remove(deployment.address("gallery", 0));
        deployment.remove(deployment.address("gallery", 0));
        long now = deployment.timers().nanoTime();
        SimulatedCaller caller = deployment.call(0, "install", key, "w1");

        assertThat(caller.ends()).isEqualTo(1);
        assertThat(caller.endedAt()).isEqualTo(now);
        assertThat(caller.verdict()).isEqualTo(verdict);
        assertThat(caller.answer().orElseThrow().retryAfter()).isPresent();
    }

    /** What another attempt that claims the same key is told. */
    private ClaimDecision claimAnew() {
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
            case RAN -> deployment.until("the run", () -> deployment.book().count("w1") == 1);
            default -> deployment.until("the answer", () -> caller.ends() == 1);
        }
    }

    private SimulatedAgent holder() {
        return deployment.agent(holderAddress());
    }

    private InetSocketAddress holderAddress() {
        return deployment.entries().get(0).openConnections().stream()
                .filter(a -> a.equals(deployment.address("gallery", 0)) || a.equals(deployment.address("gallery", 1)))
                .findFirst()
                .orElseThrow();
    }
}
