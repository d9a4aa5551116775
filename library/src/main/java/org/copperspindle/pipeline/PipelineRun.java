package org.copperspindle.pipeline;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.verdict.RanVerdict;

/**
 * Runs one request through its stages, as a pure state machine. Each event returns the actions that it causes. The
 * run uses neither network nor clock, so that replay and tests execute the same code as production.
 *
 * <p>A run is answered at most once. It is closed once it is answered and no unrepeatable attempt of its own is open:
 * such an attempt continues when the caller is gone or the deadline has passed, and is settled when its outcome
 * arrives.
 */
public final class PipelineRun {

    private static final Duration QUERY_DELAY = Duration.ofMillis(100);
    private static final int MAX_ATTEMPTS = 3;
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;

    private final PipelineRequest request;
    private final UpstreamChooser chooser;
    private final OrderFactory orders;
    private final AnswerFactory answers;
    private final Set<String> tried = new HashSet<>();
    /** The open attempts: one, or two while a repeatable stage is hedged. */
    private final List<StageAttempt> open = new ArrayList<>(2);

    private StageContext context;
    private int stageIndex;
    private int attempts;
    private boolean answered;
    private boolean waiting;

    /**
     * Creates a run.
     *
     * @param request the request
     * @param chooser the entry's choices, under the configuration that the request was admitted under
     */
    public PipelineRun(PipelineRequest request, UpstreamChooser chooser) {
        this.request = request;
        this.chooser = chooser;
        this.orders = new OrderFactory(request, chooser);
        this.answers = new AnswerFactory(request);
    }

    /**
     * Starts the first stage.
     *
     * @param now nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> start(long now) {
        try {
            context = new StageContext(request.body());
        } catch (IOException e) {
            return answer(answers.bodyNotJson());
        }
        return startAttempt(now);
    }

    /**
     * Handles the decision on the claim of the open attempt.
     *
     * @param decision the decision
     * @param now      nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onClaim(ClaimDecision decision, long now) {
        if (answered || open.isEmpty() || open.get(0).dispatched()) {
            return List.of();
        }
        StageAttempt attempt = open.remove(0);
        return switch (decision.result()) {
            case GRANTED -> dispatch(attempt, now);
            case HELD -> follow(decision);
            case RELEASED -> retryNotRun("claim-released", now);
            case CONFLICT -> answer(answers.keyConflict());
            case EXPIRED -> answer(answers.keyExpired());
            case UNAVAILABLE, FULL -> answer(answers.claimNotMade(decision.result()));
        };
    }

    /**
     * Handles a piece of a streamed answer. A piece that is not the next one of an open attempt is dropped; if it
     * came early, the missing pieces are taken from the kept outcome.
     *
     * @param chunk the piece
     * @return what to do
     */
    public List<PipelineAction> onChunk(AttemptChunkMessage chunk) {
        Optional<StageAttempt> attempt = find(chunk.attemptId()).filter(a -> a.takes(chunk));
        if (answered || attempt.isEmpty()) {
            return List.of(new PipelineAction.Dropped("chunk"));
        }
        try {
            return OrderFactory.pass(context, attempt.get().take(chunk));
        } catch (IOException e) {
            return abandon("malformed-stream");
        }
    }

    /**
     * Handles the end of an attempt. Outcomes of attempts that are not open are late, duplicated or foreign and are
     * dropped.
     *
     * @param outcome the outcome
     * @param now     nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onOutcome(AttemptOutcomeMessage outcome, long now) {
        Optional<StageAttempt> found = find(outcome.attemptId()).filter(StageAttempt::dispatched);
        if (found.isEmpty()) {
            return List.of(new PipelineAction.Dropped("outcome"));
        }
        StageAttempt attempt = found.get();
        open.remove(attempt);
        List<PipelineAction> actions = new ArrayList<>(orders.conclude(attempt, stage(), outcome.verdict()));
        if (!answered) {
            actions.addAll(proceed(attempt, outcome, now));
        }
        return actions;
    }

    /**
     * Handles the loss of the connection to an open attempt's agent. The agent continues and keeps the outcome, so it
     * is queried first: a stage that has finished is not run twice. Unrepeatable work is queried until the deadline.
     *
     * @param attemptId the attempt
     * @param now       nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onLinkLost(String attemptId, long now) {
        Optional<StageAttempt> attempt = find(attemptId).filter(StageAttempt::dispatched);
        if (attempt.isEmpty()) {
            return List.of();
        }
        boolean first = attempt.get().linkLost() == 1;
        if (stage().repeatable() && !first) {
            return abandonAttempt(attempt.get(), "agent-connection-lost", now);
        }
        return List.of(orders.query(attempt.get(), stage(), first ? Duration.ZERO : QUERY_DELAY));
    }

    /**
     * Handles a failed query for the outcome of an open attempt.
     *
     * @param attemptId the attempt
     * @param gone      whether its upstream is no longer known, so that another query is useless
     * @param now       nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onUnreachable(String attemptId, boolean gone, long now) {
        Optional<StageAttempt> attempt = find(attemptId).filter(StageAttempt::dispatched);
        if (attempt.isEmpty()) {
            return List.of();
        }
        if (stage().repeatable() || gone) {
            return abandonAttempt(attempt.get(), gone ? "agent-gone" : "agent-unreachable", now);
        }
        return List.of(orders.query(attempt.get(), stage(), QUERY_DELAY));
    }

    /**
     * Abandons an attempt of a repeatable stage, for example because it takes too long.
     *
     * @param attemptId the attempt
     * @param reason    why
     * @param now       nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onAbandoned(String attemptId, String reason, long now) {
        Optional<StageAttempt> attempt = find(attemptId).filter(StageAttempt::dispatched);
        if (attempt.isEmpty() || !stage().repeatable()) {
            return List.of();
        }
        List<PipelineAction> actions = new ArrayList<>();
        actions.add(new PipelineAction.Cancel(attempt.get().id(), attempt.get().upstreamId()));
        actions.addAll(abandonAttempt(attempt.get(), reason, now));
        return actions;
    }

    /**
     * Starts a hedge, a second attempt in parallel, if the open one has taken long enough. The first complete answer
     * wins; the other attempt is cancelled. Unrepeatable stages are never hedged, nor are streamed ones, whose pieces
     * are passed on as they arrive.
     *
     * @param now nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onHedgeDue(long now) {
        boolean hedgeable = !answered && open.size() == 1 && hasAttemptsLeft();
        if (!hedgeable || !stage().repeatable() || open.get(0).streaming()) {
            return List.of();
        }
        Optional<UpstreamAnnouncement> other =
                chooser.choose(stage(), context, tried).filter(u -> !tried.contains(u.upstreamId()));
        if (other.isEmpty() || !chooser.mayHedge(request)) {
            return List.of();
        }
        return dispatch(newAttempt(other.get()), now);
    }

    /**
     * Starts the waiting attempt, now that an upstream may be used.
     *
     * @param now nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onCapacity(long now) {
        if (answered || !waiting) {
            return List.of();
        }
        waiting = false;
        return startAttempt(now);
    }

    /**
     * Handles a request that can no longer complete before its deadline. It is answered at once, so that the caller
     * can decide what to do.
     *
     * @param retryAfter when the caller may retry
     * @return what to do
     */
    public List<PipelineAction> onDeadlineUnreachable(Duration retryAfter) {
        return answered ? List.of() : answer(answers.deadlineUnreachable(retryAfter));
    }

    /**
     * Handles the end of the deadline.
     *
     * @return what to do
     */
    public List<PipelineAction> onDeadline() {
        return answered ? List.of() : abandon("deadline");
    }

    /**
     * Handles a caller that reads its answer so slowly that it exceeds its buffer memory.
     *
     * @return what to do
     */
    public List<PipelineAction> onSlowCaller() {
        return answered ? List.of() : abandon("slow-caller");
    }

    /**
     * Handles a caller that disconnected.
     *
     * @return what to do
     */
    public List<PipelineAction> onCallerLeft() {
        if (answered) {
            return List.of();
        }
        answered = true;
        return releaseAttempts();
    }

    /**
     * Returns whether the caller has its answer or is gone.
     *
     * @return true once nothing more is passed to the caller
     */
    public boolean answered() {
        return answered;
    }

    /**
     * Returns whether the run is closed.
     *
     * @return true once it waits for nothing any more
     */
    public boolean closed() {
        return answered && open.isEmpty();
    }

    /**
     * Returns the open attempts.
     *
     * @return their ids, none while the run is between stages or over
     */
    public List<String> openAttempts() {
        return open.stream().map(StageAttempt::id).toList();
    }

    /**
     * Returns whether the current stage may have another attempt.
     *
     * @return false after its last one
     */
    public boolean hasAttemptsLeft() {
        return attempts < MAX_ATTEMPTS;
    }

    /**
     * Returns the current stage.
     *
     * @return the stage
     */
    public StageSettings stage() {
        return request.pipeline().stages().get(stageIndex);
    }

    private Optional<StageAttempt> find(String attemptId) {
        return open.stream().filter(a -> a.id().equals(attemptId)).findFirst();
    }

    private List<PipelineAction> startAttempt(long now) {
        if (request.deadlineNanos() - now <= 0) {
            return answer(answers.deadline());
        }
        Optional<Duration> retryAfter = chooser.retryAfterIfUnreachable(request, stageIndex, now);
        if (retryAfter.isPresent()) {
            return onDeadlineUnreachable(retryAfter.get());
        }
        Optional<UpstreamAnnouncement> choice = chooser.choose(stage(), context, tried);
        if (choice.isEmpty() && chooser.mayWait(request, stage())) {
            waiting = true;
            return List.of(new PipelineAction.Wait(stage().pool()));
        }
        if (choice.isEmpty()) {
            return answer(answers.noUpstream(stage().pool()));
        }
        StageAttempt attempt = newAttempt(choice.get());
        if (stage().repeatable()) {
            return dispatch(attempt, now);
        }
        open.add(attempt);
        return List.of(new PipelineAction.Claim(orders.claim(attempt, stage())));
    }

    private StageAttempt newAttempt(UpstreamAnnouncement upstream) {
        tried.add(upstream.upstreamId());
        attempts++;
        String id = request.requestId() + "/" + stage().name() + "/" + attempts;
        return StageAttempt.own(id, upstream, chooser.agentClock(upstream), orders.streaming(stageIndex));
    }

    private List<PipelineAction> dispatch(StageAttempt attempt, long now) {
        attempt.markDispatched();
        open.add(attempt);
        return List.of(new PipelineAction.Dispatch(orders.order(attempt, stage(), context, now)));
    }

    private List<PipelineAction> follow(ClaimDecision held) {
        StageAttempt attempt = StageAttempt.follow(held);
        open.add(attempt);
        return List.of(orders.query(attempt, stage(), Duration.ZERO));
    }

    private List<PipelineAction> proceed(StageAttempt attempt, AttemptOutcomeMessage outcome, long now) {
        if (outcome.verdict() instanceof RanVerdict) {
            answers.markRan();
        }
        StageHandler handler = StageHandlerFactory.of(chooser.kind(stage().pool()));
        List<String> pieces = new ArrayList<>();
        StageResult result = OutcomeReader.read(attempt, outcome, context, handler, pieces);
        List<PipelineAction> actions = new ArrayList<>(OrderFactory.pass(context, pieces));
        if (result instanceof StageResult.Whole) {
            answers.markRan();
            actions.addAll(nextStage(now));
        } else if (result instanceof StageResult.Refused refused) {
            actions.addAll(retryNotRun(refused.reason(), now));
        } else if (result instanceof StageResult.Failed failed) {
            answers.markRan();
            actions.addAll(upstreamError(failed.status(), now));
        } else if (result instanceof StageResult.Lost lost) {
            if (attempt.streaming()) {
                // The rest may be requested from the same engine again: it has the prefix in its cache.
                tried.remove(attempt.upstreamId());
            }
            actions.addAll(onOutcomeLost(lost.reason(), now));
        } else {
            answers.markMayHaveRun();
            actions.addAll(abandon("malformed-stream"));
        }
        return actions;
    }

    /**
     * Retries after a proof that the attempt did not run; it put no load on an upstream, so it uses no retry budget.
     */
    private List<PipelineAction> retryNotRun(String reason, long now) {
        if (!open.isEmpty()) {
            return List.of();
        }
        return attempts < MAX_ATTEMPTS ? startAttempt(now) : answer(answers.refused(reason));
    }

    private List<PipelineAction> abandonAttempt(StageAttempt attempt, String reason, long now) {
        open.remove(attempt);
        return answered ? List.of() : onOutcomeLost(reason, now);
    }

    /** Handles the loss of an attempt's outcome: runs the stage again if that is allowed. */
    private List<PipelineAction> onOutcomeLost(String reason, long now) {
        answers.markMayHaveRun();
        if (!open.isEmpty()) {
            return List.of();
        }
        return mayRerun() ? startAttempt(now) : answer(answers.lost(reason));
    }

    private boolean mayRerun() {
        return stage().repeatable() && attempts < MAX_ATTEMPTS && chooser.mayRetry(request);
    }

    private List<PipelineAction> nextStage(long now) {
        List<PipelineAction> actions = new ArrayList<>(releaseAttempts());
        if (stageIndex == request.pipeline().stages().size() - 1) {
            actions.addAll(answer(answers.success(context)));
            return actions;
        }
        stageIndex++;
        attempts = 0;
        tried.clear();
        actions.addAll(startAttempt(now));
        return actions;
    }

    private List<PipelineAction> upstreamError(int status, long now) {
        boolean clientError = status >= CLIENT_ERROR && status < SERVER_ERROR;
        if (!open.isEmpty()) {
            return List.of();
        }
        if (!clientError && mayRerun()) {
            return startAttempt(now);
        }
        return answer(answers.upstreamStatus(status, clientError));
    }

    private List<PipelineAction> abandon(String reason) {
        if (open.stream().anyMatch(StageAttempt::dispatched)) {
            answers.markMayHaveRun();
        }
        List<PipelineAction> actions = new ArrayList<>(releaseAttempts());
        actions.addAll(answer(answers.abandoned(reason)));
        return actions;
    }

    /** Cancels or drops the attempts that may be abandoned. An unrepeatable attempt of this run's own stays open. */
    private List<PipelineAction> releaseAttempts() {
        List<PipelineAction> actions = new ArrayList<>();
        for (StageAttempt attempt : List.copyOf(open)) {
            if (!attempt.dispatched()) {
                actions.add(new PipelineAction.AbandonClaim(attempt.id()));
                open.remove(attempt);
            } else if (stage().repeatable()) {
                actions.add(new PipelineAction.Cancel(attempt.id(), attempt.upstreamId()));
                open.remove(attempt);
            } else if (attempt.followed()) {
                open.remove(attempt);
            }
        }
        return actions;
    }

    private List<PipelineAction> answer(PipelineAnswer answer) {
        answered = true;
        return List.of(new PipelineAction.Answer(answer));
    }
}
