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
 * One request on its way through its stages: a pure state machine. Each event returns the actions that it causes; the
 * run touches neither network nor clock, so that replay and tests drive the very code that serves.
 *
 * <p>A run is answered at most once. It is closed when, besides, no unrepeatable attempt of its own is open: such an
 * attempt goes on when its caller is gone or its deadline has passed, and is settled when its outcome comes.
 */
public final class PipelineRun {

    private static final Duration QUERY_PAUSE = Duration.ofMillis(100);
    private static final int MAX_ATTEMPTS = 3;
    private static final int CLIENT_ERROR = 400;
    private static final int SERVER_ERROR = 500;

    private final PipelineRequest request;
    private final UpstreamChooser chooser;
    private final OrderFactory orders;
    private final AnswerFactory answers;
    private final Set<String> tried = new HashSet<>();
    /** One; two while a repeatable stage is hedged. */
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
     * The claim of the open attempt was decided.
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
     * A piece of a streamed answer arrived. A piece that is not the next one of an open attempt is dropped; if it came
     * early, what is missing is taken from the kept outcome.
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
     * An attempt ended. Outcomes of other attempts than the open ones are late, doubled or foreign and change nothing.
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
            actions.addAll(goOn(attempt, outcome, now));
        }
        return actions;
    }

    /**
     * The connection to an open attempt's agent ended. The agent goes on and keeps the outcome, so it is asked first: a
     * stage that has finished is not paid for twice. Unrepeatable work is asked for until the deadline.
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
            return giveUp(attempt.get(), "agent-connection-lost", now);
        }
        return List.of(orders.query(attempt.get(), stage(), first ? Duration.ZERO : QUERY_PAUSE));
    }

    /**
     * The agent of an open attempt could not be asked for its outcome.
     *
     * @param attemptId the attempt
     * @param gone      whether its upstream is no longer known, so that asking again is in vain
     * @param now       nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onUnreachable(String attemptId, boolean gone, long now) {
        Optional<StageAttempt> attempt = find(attemptId).filter(StageAttempt::dispatched);
        if (attempt.isEmpty()) {
            return List.of();
        }
        if (stage().repeatable() || gone) {
            return giveUp(attempt.get(), gone ? "agent-gone" : "agent-unreachable", now);
        }
        return List.of(orders.query(attempt.get(), stage(), QUERY_PAUSE));
    }

    /**
     * An attempt of a repeatable stage is given up, for example because it takes too long.
     *
     * @param attemptId the attempt
     * @param reason    why
     * @param now       nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onGivenUp(String attemptId, String reason, long now) {
        Optional<StageAttempt> attempt = find(attemptId).filter(StageAttempt::dispatched);
        if (attempt.isEmpty() || !stage().repeatable()) {
            return List.of();
        }
        List<PipelineAction> actions = new ArrayList<>();
        actions.add(new PipelineAction.Cancel(attempt.get().id(), attempt.get().upstreamId()));
        actions.addAll(giveUp(attempt.get(), reason, now));
        return actions;
    }

    /**
     * The open attempt takes long enough for a second one beside it. The first whole answer wins; the other attempt is
     * cancelled. Never for unrepeatable stages, nor for a streamed one, whose pieces are passed on as they come.
     *
     * @param now nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onHedgeDue(long now) {
        boolean single = !answered && open.size() == 1 && hasAttemptsLeft();
        if (!single || !stage().repeatable() || open.get(0).streaming()) {
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
     * An upstream may be used for the attempt that waits.
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
     * The request can't be done in time any more. It is answered at once, so that the caller may decide what to do.
     *
     * @param retryAfter when the caller may come back
     * @return what to do
     */
    public List<PipelineAction> onDeadlineUnreachable(Duration retryAfter) {
        return answered ? List.of() : answer(answers.hopeless(retryAfter));
    }

    /**
     * The deadline passed.
     *
     * @return what to do
     */
    public List<PipelineAction> onDeadline() {
        return answered ? List.of() : abandon("deadline");
    }

    /**
     * The caller takes its answer too slowly for the memory that it may hold.
     *
     * @return what to do
     */
    public List<PipelineAction> onSlowCaller() {
        return answered ? List.of() : abandon("slow-caller");
    }

    /**
     * The caller went away.
     *
     * @return what to do
     */
    public List<PipelineAction> onCallerLeft() {
        if (answered) {
            return List.of();
        }
        answered = true;
        return letGo();
    }

    /**
     * Says whether the caller has its answer or is gone.
     *
     * @return true once nothing is passed on any more
     */
    public boolean answered() {
        return answered;
    }

    /**
     * Says whether the run is over.
     *
     * @return true once it waits for nothing
     */
    public boolean closed() {
        return answered && open.isEmpty();
    }

    /**
     * Returns the attempts that are open.
     *
     * @return their ids, none while the run is between stages or over
     */
    public List<String> openAttempts() {
        return open.stream().map(StageAttempt::id).toList();
    }

    /**
     * Says whether the stage in progress may have a further attempt.
     *
     * @return false after its last one
     */
    public boolean hasAttemptsLeft() {
        return attempts < MAX_ATTEMPTS;
    }

    /**
     * Returns the stage in progress.
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
        Optional<Duration> hopeless = chooser.retryAfterIfUnreachable(request, stageIndex, now);
        if (hopeless.isPresent()) {
            return onDeadlineUnreachable(hopeless.get());
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

    private List<PipelineAction> goOn(StageAttempt attempt, AttemptOutcomeMessage outcome, long now) {
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
                // The rest is asked for, of the same engine if the choice falls on it: it has the prefix in its cache.
                tried.remove(attempt.upstreamId());
            }
            actions.addAll(lose(lost.reason(), now));
        } else {
            answers.markMayHaveRun();
            actions.addAll(abandon("malformed-stream"));
        }
        return actions;
    }

    /** Goes on after a proof that the attempt did not run; it cost no upstream anything, so takes no retry budget. */
    private List<PipelineAction> retryNotRun(String reason, long now) {
        if (!open.isEmpty()) {
            return List.of();
        }
        return attempts < MAX_ATTEMPTS ? startAttempt(now) : answer(answers.refused(reason));
    }

    private List<PipelineAction> giveUp(StageAttempt attempt, String reason, long now) {
        open.remove(attempt);
        return answered ? List.of() : lose(reason, now);
    }

    /** The attempt's outcome is lost: runs the stage again where that is allowed. */
    private List<PipelineAction> lose(String reason, long now) {
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
        List<PipelineAction> actions = new ArrayList<>(letGo());
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
        List<PipelineAction> actions = new ArrayList<>(letGo());
        actions.addAll(answer(answers.abandoned(reason)));
        return actions;
    }

    /** Gives up what may be given up. An unrepeatable attempt of this run's own stays open. */
    private List<PipelineAction> letGo() {
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
