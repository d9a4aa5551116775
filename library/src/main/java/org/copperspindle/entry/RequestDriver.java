package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.claims.ClaimClient;
import org.copperspindle.limits.AttemptEnd;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.pipeline.PipelineAction;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.PipelineRun;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerService;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.WireMessage;

/**
 * Executes the actions of the requests in progress and feeds the resulting events back into their runs. Runs on the
 * decision ring; network, timers and claims are passed in as interfaces, so that tests drive it in virtual time.
 */
final class RequestDriver implements AgentListener {

    /** Bytes of a streamed response that may be buffered for one slow caller. */
    static final long MAX_WAITING_BYTES = 1 << 20;

    private static final Logger LOGGER = LogManager.getLogger(RequestDriver.class);

    private static final long LATE_OUTCOME_WAIT_NANOS = Duration.ofSeconds(30).toNanos();
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int SERVER_ERROR = 500;

    private final TimerService timers;
    private final AgentPort agents;
    private final ClaimClient claims;
    private final FleetView fleet;
    private final EntryPolicy policy;
    private final WaitingRequests waitingRequests;
    private final EntryMetrics measures;
    private final EntryCounters counters = new EntryCounters();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private final OpenAttempts attempts;
    private final LateOutcomes lateOutcomes;
    private final OutcomeQueries outcomeQueries;

    RequestDriver(
            TimerService timers,
            AgentPort agents,
            ClaimClient claims,
            FleetView fleet,
            EntryPolicy policy,
            EntryMetrics measures) {
        this.timers = timers;
        this.agents = agents;
        this.claims = claims;
        this.fleet = fleet;
        this.policy = policy;
        this.measures = measures;
        this.waitingRequests = new WaitingRequests(timers, policy, this::resume);
        this.attempts = new OpenAttempts(timers, policy, waitingRequests);
        this.lateOutcomes = new LateOutcomes(agents, claims);
        this.outcomeQueries = new OutcomeQueries(timers, agents, fleet, attempts, this::unreachable);
    }

    /**
     * Starts an admitted request.
     *
     * @param request the request
     * @param chooser upstream choices under its configuration
     * @param sink    receives its response
     */
    void open(PipelineRequest request, UpstreamChooser chooser, AnswerSink sink) {
        OpenRequest open = new OpenRequest(request, chooser, sink, timers.nanoTime());
        requests.put(open.id(), open);
        long now = timers.nanoTime();
        open.deadline(timers.schedule(
                request.deadlineNanos() - now, () -> perform(open, open.run().onDeadline())));
        perform(open, open.run().start(now));
    }

    /**
     * Records that a caller disconnected.
     *
     * @param requestId identity of its request
     */
    void callerLeft(String requestId) {
        OpenRequest open = requests.get(requestId);
        if (open != null) {
            LOGGER.info("event=caller-left request={}", requestId);
            perform(open, open.run().onCallerLeft());
        }
    }

    /** Returns the number of requests in progress, including answered ones whose unrepeatable attempt still runs. */
    int inProgress() {
        return requests.size();
    }

    EntryCounters counters() {
        return counters;
    }

    @Override
    public void onMessage(InetSocketAddress agent, WireMessage message) {
        if (message instanceof AttemptChunkMessage chunk) {
            List<OpenAttempt> waiting = attempts.waiting(chunk.attemptId());
            if (waiting.isEmpty()) {
                counters.incrementDroppedChunks();
            }
            waiting.forEach(a -> perform(a.open(), a.open().run().onChunk(chunk)));
        } else if (message instanceof AttemptOutcomeMessage outcome) {
            onOutcome(agent, outcome);
        } else if (message instanceof LoadReportMessage report) {
            fleet.upstream(report.upstreamId())
                    .ifPresent(view -> view.onLoadReport(report.inFlight() + report.queued()));
        }
    }

    @Override
    public void onNotSent(WireMessage message) {
        counters.incrementUnsentMessages();
        if (message instanceof AttemptOrderMessage order) {
            onOrderNotSent(order.attemptId());
        } else if (message instanceof OutcomeQueryMessage query) {
            attempts.waiting(query.attemptId()).forEach(attempt -> unreachable(attempt, false));
        }
    }

    @Override
    public void onLinkLost(InetSocketAddress agent) {
        counters.incrementLinksLost();
        List<OpenAttempt> lost =
                attempts.all().stream().filter(a -> agent.equals(a.agent())).toList();
        for (OpenAttempt attempt : lost) {
            if (attempts.isOpen(attempt)) {
                attempt.markLost();
                perform(attempt.open(), attempt.open().run().onLinkLost(attempt.id(), timers.nanoTime()));
            }
        }
    }

    private void onOutcome(InetSocketAddress agent, AttemptOutcomeMessage outcome) {
        List<OpenAttempt> waiting = attempts.waiting(outcome.attemptId());
        if (waiting.isEmpty()) {
            counters.incrementDroppedOutcomes();
            lateOutcomes.onOutcome(agent, outcome);
        }
        for (OpenAttempt attempt : waiting) {
            attempts.close(attempt, attemptEnd(outcome), outcome.inFlight());
            measures.attemptEnded(
                    attempt.open().request().pipeline().name(),
                    attempt.stage().name(),
                    outcome.verdict(),
                    Duration.ofNanos(outcome.busyMicros() * 1000));
            perform(attempt.open(), attempt.open().run().onOutcome(outcome, timers.nanoTime()));
        }
    }

    /** No byte of the order was sent and none will be, which proves that this attempt never runs. */
    private void onOrderNotSent(String attemptId) {
        AttemptOutcomeMessage outcome = new AttemptOutcomeMessage(
                attemptId, new NotRunVerdict("not-sent"), 0, "", new byte[0], false, 0, 0, -1, -1);
        for (OpenAttempt attempt : attempts.waiting(attemptId)) {
            attempts.close(attempt, AttemptEnd.REFUSED, -1);
            perform(attempt.open(), attempt.open().run().onOutcome(outcome, timers.nanoTime()));
        }
    }

    private void unreachable(OpenAttempt attempt, boolean gone) {
        perform(attempt.open(), attempt.open().run().onUnreachable(attempt.id(), gone, timers.nanoTime()));
    }

    /** Executes actions in order. Actions that result from them are queued behind them, so that calls don't nest. */
    private void perform(OpenRequest open, List<PipelineAction> actions) {
        open.actions().addAll(actions);
        if (open.performing()) {
            return;
        }
        open.performing(true);
        try {
            for (PipelineAction next = open.actions().poll();
                    next != null;
                    next = open.actions().poll()) {
                perform(open, next);
            }
        } finally {
            open.performing(false);
        }
        closeFinished(open);
    }

    private void perform(OpenRequest open, PipelineAction action) {
        if (action instanceof PipelineAction.Dispatch dispatch) {
            dispatch(open, dispatch.order());
        } else if (action instanceof PipelineAction.Claim claim) {
            claims.claim(claim.request(), decision -> perform(open, open.run().onClaim(decision, timers.nanoTime())));
        } else if (action instanceof PipelineAction.AbandonClaim abandon) {
            claims.abandon(abandon.attemptId());
        } else if (action instanceof PipelineAction.Settle settle) {
            claims.settle(settle.settle(), () -> settle.acknowledge().ifPresent(this::acknowledge));
        } else if (action instanceof PipelineAction.Query query) {
            outcomeQueries.query(open, query);
        } else if (action instanceof PipelineAction.Cancel cancel) {
            lateOutcomes.remember(cancel.attemptId());
            sendTo(cancel.upstreamId(), new AttemptCancelMessage(cancel.attemptId()));
        } else if (action instanceof PipelineAction.Acknowledge acknowledge) {
            acknowledge(acknowledge);
        } else if (action instanceof PipelineAction.Piece piece) {
            sendChunk(open, piece.text());
        } else if (action instanceof PipelineAction.Dropped dropped) {
            countDropped(dropped);
        } else if (action instanceof PipelineAction.Wait wait) {
            waitFor(open, wait.pool());
        } else if (action instanceof PipelineAction.Answer answer) {
            answer(open, answer.answer());
        }
    }

    private void dispatch(OpenRequest open, AttemptOrderMessage order) {
        long now = timers.nanoTime();
        Optional<UpstreamView> view = fleet.upstream(order.upstreamId());
        if (view.isEmpty()) {
            attempts.add(new OpenAttempt(open, order.attemptId(), null, Optional.empty(), now));
            timers.schedule(0, () -> onOrderNotSent(order.attemptId()));
            return;
        }
        policy.dispatched(open.request(), open.run().stage(), view.get(), now);
        InetSocketAddress agent = view.get().announcement().agentAddress();
        OpenAttempt attempt = new OpenAttempt(open, order.attemptId(), agent, view, now);
        attempts.add(attempt);
        OptionalLong hedge =
                open.chooser().hedgeAfter(open.request(), open.run().stage());
        if (hedge.isPresent()) {
            attempt.timer(timers.schedule(hedge.getAsLong(), () -> hedge(attempt)));
        }
        OptionalLong timeout = policy.attemptTimeout(open.request(), open.run().stage(), now);
        if (timeout.isPresent()) {
            attempt.timeout(timers.schedule(timeout.getAsLong(), () -> onAttemptTimeout(attempt)));
        }
        agents.send(agent, order);
    }

    private void waitFor(OpenRequest open, String pool) {
        long maxWait = open.chooser().enqueue(open.request(), timers.nanoTime());
        open.waiting(timers.schedule(maxWait, () -> perform(open, open.run().onDeadlineUnreachable(RETRY_AFTER))));
        waitingRequests.onQueued(pool);
    }

    private void resume(PipelineRequest request) {
        OpenRequest open = requests.get(request.requestId());
        if (open != null) {
            open.waiting(() -> {});
            perform(open, open.run().onCapacity(timers.nanoTime()));
        }
    }

    private void hedge(OpenAttempt attempt) {
        if (attempts.isOpen(attempt)) {
            perform(attempt.open(), attempt.open().run().onHedgeDue(timers.nanoTime()));
        }
    }

    private void onAttemptTimeout(OpenAttempt attempt) {
        PipelineRun run = attempt.open().run();
        if (!attempts.isOpen(attempt) || attempt.dispatchedTo().isEmpty()) {
            return;
        }
        long now = timers.nanoTime();
        long age = now - attempt.since();
        boolean abandon = policy.mayAbandon(
                attempt.open().request(), run.stage(), attempt.dispatchedTo().get(), age, now);
        if (!abandon || !run.stage().repeatable() || !run.hasAttemptsLeft()) {
            attempt.timeout(timers.schedule(age / 2, () -> onAttemptTimeout(attempt)));
        } else {
            attempts.close(attempt, AttemptEnd.TIMED_OUT, -1);
            perform(attempt.open(), run.onAbandoned(attempt.id(), "attempt-timeout", timers.nanoTime()));
        }
    }

    private static AttemptEnd attemptEnd(AttemptOutcomeMessage outcome) {
        if (outcome.verdict() instanceof NotRunVerdict) {
            return AttemptEnd.REFUSED;
        }
        if (outcome.verdict() instanceof MayHaveRunVerdict) {
            return AttemptEnd.LOST;
        }
        return outcome.status() >= SERVER_ERROR ? AttemptEnd.FAILED : AttemptEnd.SUCCEEDED;
    }

    private void acknowledge(PipelineAction.Acknowledge acknowledge) {
        lateOutcomes.remember(acknowledge.attemptId());
        sendTo(acknowledge.upstreamId(), new OutcomeAckMessage(acknowledge.attemptId()));
    }

    private void sendTo(String upstreamId, WireMessage message) {
        fleet.upstream(upstreamId)
                .ifPresent(view -> agents.send(view.announcement().agentAddress(), message));
    }

    private void sendChunk(OpenRequest open, String text) {
        open.sink().writeChunk(text);
        if (open.sink().waitingBytes() > MAX_WAITING_BYTES && !open.run().answered()) {
            // A caller that does not read would make the entry buffer its whole response, times the number of such
            // callers.
            counters.incrementSlowCallers();
            perform(open, open.run().onSlowCaller());
        }
    }

    private void countDropped(PipelineAction.Dropped dropped) {
        if (dropped.what().equals("chunk")) {
            counters.incrementDroppedChunks();
        } else {
            counters.incrementDroppedOutcomes();
        }
    }

    private void answer(OpenRequest open, PipelineAnswer answer) {
        LOGGER.info(
                "event=answered request={} account={} pipeline={} verdict={} status={} reason={}",
                open.id(),
                open.request().account().name(),
                open.request().pipeline().name(),
                answer.verdict().label(),
                answer.status(),
                answer.verdict().reason());
        measures.answered(open.request(), answer, timers.nanoTime() - open.since());
        open.sink().end(open.id(), answer);
    }

    /** Closes attempts that the run no longer waits for, and forgets the request once it is answered and closed. */
    private void closeFinished(OpenRequest open) {
        List<String> waitedFor = open.run().openAttempts();
        // An attempt still registered here was cancelled or lost: one with an outcome is closed before its run
        // continues.
        List.copyOf(open.attempts()).stream()
                .filter(attempt -> !waitedFor.contains(attempt.id()))
                .forEach(attempt -> closeUnawaited(attempt, attempt.lost() ? AttemptEnd.LOST : AttemptEnd.WITHDRAWN));
        if (open.run().answered() && open.release()) {
            open.cancelDeadline();
            policy.release(open.request());
            if (!open.run().closed()) {
                LOGGER.info("event=attempt-outlives-request request={}", open.id());
                open.deadline(timers.schedule(LATE_OUTCOME_WAIT_NANOS, () -> forget(open)));
            }
        }
        if (open.run().closed()) {
            forget(open);
        }
    }

    private void forget(OpenRequest open) {
        open.cancelDeadline();
        requests.remove(open.id());
        List.copyOf(open.attempts()).forEach(attempt -> closeUnawaited(attempt, AttemptEnd.WITHDRAWN));
    }

    private void closeUnawaited(OpenAttempt attempt, AttemptEnd end) {
        attempts.close(attempt, end, -1);
        if (attempt.stage().repeatable()) {
            lateOutcomes.remember(attempt.id());
        } else {
            lateOutcomes.rememberClaimed(attempt.open()
                    .request()
                    .settlement(attempt.stage(), attempt.id(), new MayHaveRunVerdict("outcome-late")));
        }
    }
}
