package org.copperspindle.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.StageSettings;
import org.copperspindle.emulator.ExecutionLedger;
import org.copperspindle.emulator.FakeKind;
import org.copperspindle.emulator.ReceivedCall;
import org.copperspindle.emulator.SentCalls;

/**
 * Checks the delivery promises of the system. The check uses only the responses that callers received and the ledger of
 * the fake upstreams, no counters of the system itself.
 */
final class PromiseCheck {

    private static final String NOT_RUN = "NOT_RUN";

    private final Deployment deployment;
    private final List<DemoAnswer> answers;
    private final ExecutionLedger ledger;
    private final Map<String, Integer> executionsByRequest;

    PromiseCheck(Deployment deployment, List<DemoAnswer> answers, ExecutionLedger ledger) {
        this.deployment = deployment;
        this.answers = answers;
        this.ledger = ledger;
        this.executionsByRequest = ledger.byRequest();
    }

    /**
     * Result of the check of one promise.
     *
     * @param promise name of the promise
     * @param checked number of cases checked
     * @param broken  number of cases in which the promise was broken
     * @param example the first broken case, empty if there is none
     */
    record Result(String promise, long checked, long broken, String example) {}

    List<Result> check() {
        List<DemoAnswer> complete =
                answers.stream().filter(a -> a.verdict().equals("RAN")).toList();
        List<DemoAnswer> refused =
                answers.stream().filter(a -> a.verdict().equals(NOT_RUN)).toList();
        List<Result> results = new ArrayList<>();
        results.add(checkAnswers("lost: no answer at all", answers, a -> a.outcome() == DemoAnswer.Outcome.NONE));
        results.add(checkAnswers(
                "lost: complete answer, parts missing or never run",
                complete,
                a -> a.outcome() == DemoAnswer.Outcome.SPOILT || neverRan(a)));
        results.add(
                checkAnswers("doubled parts in an answer", complete, a -> a.outcome() == DemoAnswer.Outcome.DOUBLED));
        results.add(checkAnswers(
                "foreign: another call's answer", complete, a -> a.outcome() == DemoAnswer.Outcome.FOREIGN));
        results.add(checkAnswers("ran after NOT_RUN", refused, this::ranAfterNotRun));
        results.add(checkUnrepeatableCalls());
        return results;
    }

    /** Checks that nothing came to upstreams that no caller has sent, or other than it was sent. */
    static Result checkReceived(SentCalls sent, List<ReceivedCall> received) {
        List<String> broken = sent.broken(received);
        return new Result(
                "came to an upstream, not sent so by a caller",
                received.size(),
                broken.size(),
                broken.stream().findFirst().orElse(""));
    }

    private Result checkAnswers(String promise, List<DemoAnswer> checked, Predicate<DemoAnswer> broken) {
        List<DemoAnswer> found = checked.stream().filter(broken).toList();
        String example = found.stream().findFirst().map(PromiseCheck::describe).orElse("");
        return new Result(promise, checked.size(), found.size(), example);
    }

    private boolean neverRan(DemoAnswer answer) {
        return answer.outcome() == DemoAnswer.Outcome.WHOLE
                && answer.call().pipeline().stages().stream()
                        .anyMatch(s -> ledger.count(fakeKind(s), answer.call().token()) == 0);
    }

    private boolean ranAfterNotRun(DemoAnswer answer) {
        return !answer.requestId().isEmpty() && executionsByRequest.containsKey(answer.requestId());
    }

    /** Checks that each unrepeatable stage of an unrepeatable call ran at most once per key, whatever was answered. */
    private Result checkUnrepeatableCalls() {
        Map<String, DemoAnswer> byToken = answers.stream()
                .filter(a -> !a.call().pipeline().repeatable())
                .collect(Collectors.toMap(a -> a.call().token(), a -> a, (a, b) -> a));
        return checkAnswers(
                "unrepeatable call run twice",
                List.copyOf(byToken.values()),
                a -> a.call().pipeline().stages().stream()
                        .anyMatch(s -> !s.repeatable()
                                && ledger.count(fakeKind(s), a.call().token()) > 1));
    }

    private FakeKind fakeKind(StageSettings stage) {
        return FakeKind.valueOf(
                deployment.pool(stage.pool()).orElseThrow().kind().name());
    }

    private static String describe(DemoAnswer a) {
        return a.call().pipeline().name() + " token=" + a.call().token() + " request=" + a.requestId() + " "
                + a.outcome() + " " + a.verdict() + " " + a.reason();
    }
}
