package org.copperspindle.agent;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.config.Priority;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.copperspindle.wire.Peer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the decisions of one incarnation of an agent, event by event. Times are seconds of its clock. */
class AttemptTableTest {

    private static final long INCARNATION = 7;
    private static final long SECOND = 1_000_000;
    private static final AgentLimits LIMITS = new AgentLimits(
            1,
            2,
            8,
            300,
            100,
            Duration.ofSeconds(10),
            Duration.ofSeconds(5),
            Duration.ofSeconds(60),
            Duration.ofSeconds(3),
            Duration.ZERO);

    private final AttemptTable table = new AttemptTable("gallery-1", INCARNATION, LIMITS);
    private final Peer first = new RecordingPeer();
    private final Peer second = new RecordingPeer();
    private List<AgentAction> last = List.of();

    /**
     * An entry orders an install and crashes while its order is delayed in a socket buffer. Another entry queries the
     * attempt and gets NOT_RUN, so the install is dispatched elsewhere. Then the order arrives: it must be refused, or
     * the install runs twice.
     */
    @Test
    void delayedOrderIsRefusedAfterItsAttemptWasReportedNotRun() {
        query("a", INCARNATION, 1, 2);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("never-arrived"));

        order("a", false, 1, 9, 4);

        assertThat(verdict()).isEqualTo(new NotRunVerdict("never-arrived"));
        assertThat(table.running()).isZero();
    }

    /**
     * Like the test above, but the order arrives after the agent has forgotten the refusal: the deadline on the order
     * has passed by the agent's clock, or its clock reading is too old.
     */
    @Test
    void orderIsRefusedByItsStampOnceTheRefusalIsForgotten() {
        query("a", INCARNATION, 1, 2);
        tick(3600);
        assertThat(table.size()).isZero();

        order("a", false, 1, 9, 3601);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("deadline"));
        order("a", false, 1, 3605, 3601);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("delayed"));
    }

    /**
     * An order is stamped at the end of its request's deadline, after its attempt was reported NOT_RUN, and its stamped
     * deadline is too late because the agent's VM had been paused. Its refusal must be remembered longer, by the
     * greatest age of a clock reading.
     */
    @Test
    void refusalIsKeptForAnOrderStampedWhileTheAgentWasPaused() {
        query("a", INCARNATION, 1, 2);
        tick(14);

        order("a", false, 12, 22, 14);

        assertThat(verdict()).isEqualTo(new NotRunVerdict("never-arrived"));
    }

    @Test
    void entrySendsNoOrderAfterItsDeadlineOrToAnotherIncarnation() {
        AgentClock clock =
                AgentClock.of(new LoadReportMessage("gallery-1", 1, 0, -1, INCARNATION, 50, 0, -1, false), 1000);
        AttemptOrderMessage order = new AttemptOrderMessage(
                "a", "r", "gallery-1", INCARNATION, "/", new byte[0], false, false, Priority.BATCH, 10, 1);

        assertThat(clock.stamp(order, 5000, 14_000)).hasValue(new StampedOrderMessage(order, 64, 50));
        assertThat(clock.stamp(order, 5000, 15_000)).isEmpty();
        AgentClock other =
                AgentClock.of(new LoadReportMessage("gallery-1", 1, 0, -1, INCARNATION + 1, 50, 0, -1, false), 0);
        assertThat(other.stamp(order, 5000, 6000)).isEmpty();
    }

    @Test
    void duplicateOrderRunsNothingAndGetsTheOutcome() {
        order("a", false, 1, 9, 2);
        order("a", false, 1, 9, 3, second);
        assertThat(last).isEmpty();

        end("a", "done", 4);
        assertThat(last).extracting(action -> ((AgentAction.Send) action).to()).containsExactly(first, second);

        order("a", false, 1, 9, 5, second);
        assertThat(bodyOf(last.get(0))).isEqualTo("done");
    }

    /**
     * An entry crashes while an install runs; the caller resends it through another entry, which queries the agent. The
     * outcome must be sent on the querying connection when the install ends.
     */
    @Test
    void queryOfARunningAttemptGetsItsOutcome() {
        order("a", false, 1, 9, 2);
        query("a", INCARNATION, 1, 3);
        assertThat(last).isEmpty();

        end("a", "done", 4);

        AgentAction.Send toQuerying = (AgentAction.Send) last.get(1);
        assertThat(toQuerying.to()).isSameAs(second);
        assertThat(bodyOf(toQuerying)).isEqualTo("done");
    }

    /**
     * An install ran, and its record was removed after the retention of outcomes. A late resend queries it. The agent
     * has no record of it any more and must not report NOT_RUN, or it would run again.
     */
    @Test
    void forgottenAttemptIsNotReportedNotRun() {
        order("a", false, 1, 9, 2);
        end("a", "done", 3);
        tick(100);
        assertThat(table.size()).isZero();

        query("a", INCARNATION, 1, 101);
        assertThat(verdict()).isEqualTo(new MayHaveRunVerdict("outcome-forgotten"));

        query("b", INCARNATION, 50, 101);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("never-arrived"));
    }

    /**
     * A restarted agent has no records of its former incarnation, and a query without an incarnation never gets
     * NOT_RUN.
     */
    @ParameterizedTest
    @ValueSource(longs = {0, INCARNATION - 1, INCARNATION + 1})
    void attemptsOfAnotherIncarnationMayHaveRun(long incarnation) {
        query("a", incarnation, 1, 2);

        assertThat(verdict()).isInstanceOf(MayHaveRunVerdict.class);
        assertThat(table.size()).isZero();
    }

    /**
     * The table is full of running and refused attempts when another order is refused, without space to record the
     * refusal. Space becomes free, then a copy of the refused order arrives in time: it must still be refused.
     */
    @Test
    void refusalWithoutARecordStillHolds() {
        AgentLimits smallLimits = new AgentLimits(
                8,
                2,
                2,
                300,
                100,
                LIMITS.maxDeadline(),
                LIMITS.maxClockAge(),
                LIMITS.retention(),
                LIMITS.abortGrace(),
                LIMITS.retention());
        AttemptTable full = new AttemptTable("gallery-1", INCARNATION, smallLimits);
        full.onOrder(stamped("a", true, Priority.STANDARD, 1, 9), first, 2 * SECOND);
        full.onOrder(stamped("b", true, Priority.STANDARD, 1, 9), first, 2 * SECOND);
        last = full.onOrder(stamped("c", true, Priority.STANDARD, 1, 5), first, 2 * SECOND);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("table-full"));
        full.onEnded(outcome("a", ""), false, 3 * SECOND);

        last = full.onOrder(stamped("c", true, Priority.STANDARD, 1, 5), first, 4 * SECOND);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("table-full"));
        last = full.onOrder(stamped("d", true, Priority.STANDARD, 2, 9), first, 4 * SECOND);
        assertThat(last.get(0)).isInstanceOf(AgentAction.Start.class);
    }

    /** The space for responses is full of unacknowledged installs: new ones are refused, and none is dropped. */
    @Test
    void unacknowledgedOutcomesAreNeverDroppedForNewWork() {
        for (String id : List.of("a", "b", "c")) {
            order(id, false, 1, 9, 2);
            end(id, "x".repeat(100), 2);
        }
        order("d", false, 1, 9, 3);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("outcomes-full"));
        query("a", INCARNATION, 1, 3);
        assertThat(bodyOf(last.get(0))).hasSize(100);

        table.onAcknowledge("a");
        order("e", false, 1, 9, 4);
        assertThat(last.get(0)).isInstanceOf(AgentAction.Start.class);
        query("a", INCARNATION, 1, 4);
        assertThat(verdict()).isEqualTo(new RanVerdict("outcome-dropped"));
    }

    @Test
    void acknowledgedOutcomeIsKeptForAResendWhileThereIsRoom() {
        order("a", false, 1, 9, 2);
        end("a", "done", 3);
        table.onAcknowledge("a");

        query("a", INCARNATION, 1, 30);

        assertThat(bodyOf(last.get(0))).isEqualTo("done");
    }

    @Test
    void waitingAttemptIsDisplacedByAHigherPriority() {
        order("running", true, 1, 9, 2);
        order("old", true, Priority.BATCH);
        order("young", true, Priority.BATCH);
        order("urgent", true, Priority.INTERACTIVE);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("displaced"));
        assertThat(((AgentAction.Send) last.get(0)).outcome().attemptId()).isEqualTo("young");
        order("late", true, Priority.BATCH);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("queue-full"));

        end("running", "", 3);

        assertThat(started()).contains("urgent");
    }

    @Test
    void drainRefusesWhatWaitsAndFinishesWhatRuns() {
        order("running", false, 1, 9, 2);
        order("waiting", false, 1, 9, 2);

        last = table.onRefusing(Optional.of("draining"), 3 * SECOND);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("draining"));
        order("new", false, 1, 9, 3);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("draining"));

        end("running", "done", 4);
        assertThat(bodyOf(last.get(0))).isEqualTo("done");
    }

    @Test
    void deadlineAbortsRepeatableWorkAtOnceAndOtherWorkAfterTheGrace() {
        order("a", false, 1, 4, 2);
        tick(4);
        assertThat(last).isEmpty();
        end("a", "late", 5);
        query("a", INCARNATION, 1, 6);
        assertThat(bodyOf(last.get(0))).isEqualTo("late");

        order("b", true, 6, 8, 6);
        tick(8);
        assertThat(last).containsExactly(new AgentAction.Abort("b", "deadline"));
        end("b", "", 8);
        order("c", false, 8, 9, 8);
        tick(11);
        assertThat(last).isEmpty();
        tick(12);
        assertThat(last).containsExactly(new AgentAction.Abort("c", "deadline"));
    }

    @Test
    void cancelEndsOnlyRepeatableWork() {
        order("install", false, 1, 9, 2);
        last = table.onCancel("install", 3 * SECOND);
        assertThat(last).isEmpty();
        order("waiting", false, 1, 9, 3);
        last = table.onCancel("waiting", 3 * SECOND);
        assertThat(verdict()).isEqualTo(new NotRunVerdict("cancelled"));
        end("install", "", 4);

        order("tag", true, 3, 9, 5);
        last = table.onCancel("tag", 5 * SECOND);
        assertThat(last).containsExactly(new AgentAction.Abort("tag", "cancelled"));
    }

    @Test
    void streamedBodyIsNotSentAgainToTheConnectionThatHasItsChunks() {
        order("a", true, 1, 9, 2);
        query("a", INCARNATION, 1, 2);

        last = table.onEnded(outcome("a", "whole"), true, 3 * SECOND);

        assertThat(bodyOf(last.get(0))).isEmpty();
        assertThat(bodyOf(last.get(1))).isEqualTo("whole");
    }

    private void order(String id, boolean repeatable, long clock, long expires, long now) {
        order(id, repeatable, clock, expires, now, first);
    }

    private void order(String id, boolean repeatable, long clock, long expires, long now, Peer from) {
        last = table.onOrder(stamped(id, repeatable, Priority.STANDARD, clock, expires), from, now * SECOND);
    }

    private void order(String id, boolean repeatable, Priority priority) {
        last = table.onOrder(stamped(id, repeatable, priority, 1, 9), first, 2 * SECOND);
    }

    private void query(String id, long incarnation, long clock, long now) {
        last = table.onQuery(new OutcomeQueryMessage(id, incarnation, clock * SECOND, true), second, now * SECOND);
    }

    private void end(String id, String body, long now) {
        last = table.onEnded(outcome(id, body), false, now * SECOND);
    }

    private void tick(long now) {
        last = table.onTick(now * SECOND);
    }

    private Verdict verdict() {
        return last.stream()
                .filter(AgentAction.Send.class::isInstance)
                .map(action -> ((AgentAction.Send) action).outcome().verdict())
                .findFirst()
                .orElseThrow();
    }

    private List<String> started() {
        List<String> ids = new ArrayList<>();
        for (AgentAction action : last) {
            if (action instanceof AgentAction.Start start) {
                ids.add(start.order().attemptId());
            }
        }
        return ids;
    }

    private static String bodyOf(AgentAction action) {
        return new String(((AgentAction.Send) action).outcome().body());
    }

    static AttemptOutcomeMessage outcome(String id, String body) {
        return new AttemptOutcomeMessage(id, RanVerdict.SUCCESS, 200, "", body.getBytes(), true, 0, 0, 0, -1);
    }

    static StampedOrderMessage stamped(String id, boolean repeatable, Priority priority, long clock, long expires) {
        AttemptOrderMessage order = new AttemptOrderMessage(
                id, "r", "gallery-1", INCARNATION, "/install", new byte[1], false, repeatable, priority, 0, 1);
        return new StampedOrderMessage(order, expires * SECOND, clock * SECOND);
    }
}
