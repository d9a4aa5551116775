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

/**
 * Checks the promises from the callers' answers and the fakes' ledger alone; nothing that the system counts is used.
 */
final class PromiseCheck {

    private static final String NOT_RUN = "NOT_RUN";

    private final Deployment deployment;
    private final List<DemoAnswer> answers;
    private final ExecutionLedger ledger;
    private final Map<String, Integer> runsByRequest;

    PromiseCheck(Deployment deployment, List<DemoAnswer> answers, ExecutionLedger ledger) {
        this.deployment = deployment;
        this.answers = answers;
        this.ledger = ledger;
        this.runsByRequest = ledger.byRequest();
    }

    /**
     * One promise.
     *
     * @param promise what was promised
     * @param checked cases that were checked
     * @param broken  cases in which it was broken
     * @param example the first broken case, empty if there is none
     */
    record Result(String promise, long checked, long broken, String example) {}

    List<Result> check() {
        List<DemoAnswer> complete =
                answers.stream().filter(a -> a.verdict().equals("RAN")).toList();
        List<DemoAnswer> refused =
                answers.stream().filter(a -> a.verdict().equals(NOT_RUN)).toList();
        List<Result> results = new ArrayList<>();
        results.add(answered("lost: no answer at all", answers, a -> a.outcome() == DemoAnswer.Outcome.NONE));
        results.add(answered(
                "lost: complete answer, parts missing or never run",
                complete,
                a -> a.outcome() == DemoAnswer.Outcome.SPOILT || neverRan(a)));
        results.add(answered("doubled parts in an answer", complete, a -> a.outcome() == DemoAnswer.Outcome.DOUBLED));
        results.add(
                answered("foreign: another call's answer", complete, a -> a.outcome() == DemoAnswer.Outcome.FOREIGN));
        results.add(answered("ran after NOT_RUN", refused, this::ranAfterNotRun));
        results.add(unrepeatableTwice());
        return results;
    }

    private Result answered(String promise, List<DemoAnswer> checked, Predicate<DemoAnswer> broken) {
        List<DemoAnswer> found = checked.stream().filter(broken).toList();
        String example = found.stream().findFirst().map(PromiseCheck::describe).orElse("");
        return new Result(promise, checked.size(), found.size(), example);
    }

    private boolean neverRan(DemoAnswer answer) {
        return answer.outcome() == DemoAnswer.Outcome.WHOLE
                && answer.call().pipeline().stages().stream()
                        .anyMatch(s -> ledger.count(kind(s), answer.call().token()) == 0);
    }

    private boolean ranAfterNotRun(DemoAnswer answer) {
        return !answer.requestId().isEmpty() && runsByRequest.containsKey(answer.requestId());
    }

    /** Every key of an unrepeatable call, whatever its answers were: each of its unrepeatable stages ran at most once. */
    private Result unrepeatableTwice() {
        Map<String, DemoAnswer> byToken = answers.stream()
                .filter(a -> !a.call().pipeline().repeatable())
                .collect(Collectors.toMap(a -> a.call().token(), a -> a, (a, b) -> a));
        return answered(
                "unrepeatable call run twice",
                List.copyOf(byToken.values()),
                a -> a.call().pipeline().stages().stream()
                        .anyMatch(s -> !s.repeatable()
                                && ledger.count(kind(s), a.call().token()) > 1));
    }

    private FakeKind kind(StageSettings stage) {
        return FakeKind.valueOf(
                deployment.pool(stage.pool()).orElseThrow().kind().name());
    }

    private static String describe(DemoAnswer a) {
        return a.call().pipeline().name() + " token=" + a.call().token() + " request=" + a.requestId() + " "
                + a.outcome() + " " + a.verdict() + " " + a.reason();
    }
}
