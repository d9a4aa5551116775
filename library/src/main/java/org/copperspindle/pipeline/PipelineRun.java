package org.copperspindle.pipeline;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.config.StageSettings;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;

/**
 * One request on its way through its stages: a pure state machine. Each event returns the actions that it causes; the
 * run touches neither network nor clock, so that replay and tests drive the very code that serves.
 */
public final class PipelineRun {

    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_ATTEMPTS = 3;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final int SUCCESS_LIMIT = 300;
    private static final int SERVER_ERROR = 500;

    private final PipelineRequest request;
    private final UpstreamChooser chooser;
    private final Set<String> tried = new HashSet<>();
    private StageContext context;
    private int stageIndex;
    private int attemptNumber;
    private String attemptId = "";
    private UpstreamAnnouncement upstream;
    private String upstreamId = "";
    private boolean claimPending;
    private boolean mayHaveRun;
    private boolean ran;
    private boolean ended;
    private boolean waiting;
    private CompletionStream stream;
    private long nextChunk;

    /**
     * Creates a run.
     *
     * @param request the request
     * @param chooser the entry's choices
     */
    public PipelineRun(PipelineRequest request, UpstreamChooser chooser) {
        this.request = request;
        this.chooser = chooser;
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
            return fail(new NotRunVerdict("body-not-json"), BAD_REQUEST, "body is not JSON", Optional.empty());
        }
        return startAttempt(now);
    }

    /**
     * A claim was decided.
     *
     * @param reply the decision
     * @param now   nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onClaim(ClaimReplyMessage reply, long now) {
        if (ended || !claimPending) {
            return List.of();
        }
        claimPending = false;
        return switch (ClaimResult.valueOf(reply.result())) {
            case GRANTED -> List.of(new PipelineAction.Dispatch(order(now)));
            case HELD -> follow(reply);
            case CONFLICT ->
                fail(verdict("key-conflict"), CONFLICT, "idempotency key used with another body", Optional.empty());
            case EXPIRED ->
                fail(verdict("key-expired"), CONFLICT, "idempotency key is too old to be judged", Optional.empty());
            case UNAVAILABLE ->
                fail(verdict("claim-unavailable"), UNAVAILABLE, "claim can't be made now", Optional.of(RETRY_AFTER));
        };
    }

    /**
     * A piece of a streamed answer arrived.
     *
     * @param chunk the piece
     * @return what to do
     */
    public List<PipelineAction> onChunk(AttemptChunkMessage chunk) {
        if (ended || !chunk.attemptId().equals(attemptId) || stream == null || chunk.sequence() != nextChunk) {
            return List.of();
        }
        nextChunk++;
        try {
            List<PipelineAction> actions = new ArrayList<>();
            for (String text : stream.feed(chunk.data())) {
                context.text().append(text);
                actions.add(new PipelineAction.Piece(text));
            }
            return actions;
        } catch (IOException e) {
            return abandon("malformed stream");
        }
    }

    /**
     * An attempt ended. Outcomes of other attempts than the open one are late or doubled and change nothing.
     *
     * @param outcome the outcome
     * @param now     nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onOutcome(AttemptOutcomeMessage outcome, long now) {
        if (ended || !outcome.attemptId().equals(attemptId)) {
            return List.of();
        }
        if (outcome.verdict() instanceof NotRunVerdict) {
            return retryNotRun(outcome.verdict(), now);
        }
        if (outcome.verdict() instanceof MayHaveRunVerdict) {
            return onLost(outcome.verdict().reason(), now);
        }
        List<PipelineAction> actions = new ArrayList<>();
        actions.add(new PipelineAction.Acknowledge(attemptId, upstreamId));
        if (!stage().repeatable()) {
            actions.add(settle(outcome.verdict()));
        }
        ran = true;
        actions.addAll(finishStage(outcome, now));
        return actions;
    }

    /**
     * The outcome of the open attempt can't be known any more.
     *
     * @param reason what was lost
     * @param now    nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onLost(String reason, long now) {
        if (ended) {
            return List.of();
        }
        mayHaveRun = true;
        boolean passedOn = stream != null && nextChunk > 0;
        if (stage().repeatable() && !passedOn && attemptNumber < MAX_ATTEMPTS && chooser.mayRetry(request)) {
            return startAttempt(now);
        }
        return fail(verdict(reason), BAD_GATEWAY, "answer of an upstream was lost", Optional.empty());
    }

    /**
     * An upstream may be used for the attempt that waits.
     *
     * @param now nanoseconds of the timer service
     * @return what to do
     */
    public List<PipelineAction> onCapacity(long now) {
        if (ended || !waiting) {
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
    public List<PipelineAction> onHopeless(Duration retryAfter) {
        if (ended) {
            return List.of();
        }
        waiting = false;
        List<PipelineAction> actions = new ArrayList<>(cancelOpen());
        actions.addAll(fail(
                verdict("deadline-unreachable"),
                UNAVAILABLE,
                "can't be answered within the deadline",
                Optional.of(retryAfter)));
        return actions;
    }

    /**
     * The deadline passed.
     *
     * @return what to do
     */
    public List<PipelineAction> onDeadline() {
        if (ended) {
            return List.of();
        }
        return abandon("deadline");
    }

    /**
     * The caller went away.
     *
     * @return what to do
     */
    public List<PipelineAction> onCallerLeft() {
        if (ended) {
            return List.of();
        }
        ended = true;
        return cancelOpen();
    }

    /**
     * Returns the open attempt.
     *
     * @return its id, empty if none is open
     */
    public String attemptId() {
        return attemptId;
    }

    /**
     * Says whether the stage in progress may have a further attempt.
     *
     * @return false after its last one
     */
    public boolean hasAttemptsLeft() {
        return attemptNumber < MAX_ATTEMPTS;
    }

    /**
     * Returns the stage in progress.
     *
     * @return the stage
     */
    public StageSettings stage() {
        return request.pipeline().stages().get(stageIndex);
    }

    private List<PipelineAction> startAttempt(long now) {
        if (request.deadlineNanos() - now <= 0) {
            return fail(verdict("deadline"), GATEWAY_TIMEOUT, "deadline passed", Optional.empty());
        }
        Optional<Duration> hopeless = chooser.hopeless(request, stageIndex, now);
        if (hopeless.isPresent()) {
            return onHopeless(hopeless.get());
        }
        Optional<UpstreamAnnouncement> choice = chooser.choose(stage(), context, tried);
        if (choice.isEmpty() && chooser.mayWait(request, stage())) {
            waiting = true;
            attemptId = "";
            return List.of(new PipelineAction.Wait(stage().pool()));
        }
        if (choice.isEmpty()) {
            return fail(
                    verdict("no-upstream"),
                    UNAVAILABLE,
                    "no upstream of pool " + stage().pool() + " can take the request",
                    Optional.of(RETRY_AFTER));
        }
        upstream = choice.get();
        upstreamId = upstream.upstreamId();
        tried.add(upstreamId);
        attemptNumber++;
        attemptId = request.requestId() + "/" + stage().name() + "/" + attemptNumber;
        stream = streaming() ? new CompletionStream() : null;
        nextChunk = 0;
        if (stage().repeatable()) {
            return List.of(new PipelineAction.Dispatch(order(now)));
        }
        claimPending = true;
        return List.of(new PipelineAction.Claim(new ClaimRequestMessage(
                0,
                request.account().name(),
                request.key(),
                stage().name(),
                attemptId,
                upstreamId,
                request.bodyDigest())));
    }

    private AttemptOrderMessage order(long now) {
        StageHandler handler = StageHandlerFactory.of(chooser.kind(stage().pool()));
        byte[] body;
        try {
            body = handler.request(context, stage(), streaming());
        } catch (IOException e) {
            throw new IllegalStateException("request of stage " + stage().name() + " can't be written", e);
        }
        return new AttemptOrderMessage(
                attemptId,
                request.requestId(),
                upstreamId,
                upstream.incarnation(),
                handler.path(stage()),
                body,
                streaming(),
                stage().repeatable(),
                request.priority(),
                (request.deadlineNanos() - now) / 1000,
                chooser.configVersion());
    }

    private boolean streaming() {
        boolean last = stageIndex == request.pipeline().stages().size() - 1;
        return request.streaming()
                && last
                && StageHandlerFactory.of(chooser.kind(stage().pool())).canStream();
    }

    private List<PipelineAction> follow(ClaimReplyMessage reply) {
        attemptId = reply.attemptId();
        upstreamId = reply.upstreamId();
        stream = null;
        return List.of(new PipelineAction.Query(attemptId, upstreamId));
    }

    private List<PipelineAction> retryNotRun(Verdict verdict, long now) {
        List<PipelineAction> actions = new ArrayList<>();
        if (!stage().repeatable()) {
            actions.add(settle(verdict));
        }
        if (attemptNumber < MAX_ATTEMPTS && chooser.mayRetry(request)) {
            actions.addAll(startAttempt(now));
        } else {
            actions.addAll(fail(
                    verdict(verdict.reason()), UNAVAILABLE, "upstreams refused the work", Optional.of(RETRY_AFTER)));
        }
        return actions;
    }

    private List<PipelineAction> finishStage(AttemptOutcomeMessage outcome, long now) {
        if (!outcome.complete()) {
            return onLost("incomplete answer", now);
        }
        if (outcome.status() >= SUCCESS_LIMIT) {
            return upstreamError(outcome, now);
        }
        try {
            takeBody(outcome);
        } catch (IOException e) {
            return onLost("malformed answer: " + e.getMessage(), now);
        }
        if (stageIndex == request.pipeline().stages().size() - 1) {
            return succeed();
        }
        stageIndex++;
        attemptNumber = 0;
        tried.clear();
        return startAttempt(now);
    }

    private void takeBody(AttemptOutcomeMessage outcome) throws IOException {
        if (stream != null) {
            // Its pieces were taken as they came; the outcome only has to prove that they were all of it.
            if (!stream.ended() || outcome.chunks() != nextChunk) {
                throw new IOException("stream ended early");
            }
            return;
        }
        StageHandlerFactory.of(chooser.kind(stage().pool()))
                .accept(context, outcome.body(), outcome.contentType(), false);
    }

    private List<PipelineAction> upstreamError(AttemptOutcomeMessage outcome, long now) {
        boolean retry = outcome.status() >= SERVER_ERROR && stage().repeatable();
        if (retry && attemptNumber < MAX_ATTEMPTS && chooser.mayRetry(request)) {
            return startAttempt(now);
        }
        return fail(
                new RanVerdict("upstream-status-" + outcome.status()),
                outcome.status() >= SERVER_ERROR ? BAD_GATEWAY : outcome.status(),
                "upstream answered " + outcome.status(),
                Optional.empty());
    }

    private List<PipelineAction> succeed() {
        ended = true;
        byte[] body = context.answer();
        if (!request.pipeline().service()) {
            body = answerBody();
        }
        return List.of(new PipelineAction.Answer(
                new PipelineAnswer(RanVerdict.SUCCESS, 200, context.answerType(), body, "", Optional.empty())));
    }

    private byte[] answerBody() {
        try {
            return StageContext.JSON.writeValueAsBytes(StageContext.JSON
                    .createObjectNode()
                    .put("request_id", request.requestId())
                    .put("output", context.text().toString())
                    .set("documents", context.documents()));
        } catch (IOException e) {
            return context.text().toString().getBytes(StandardCharsets.UTF_8);
        }
    }

    private List<PipelineAction> abandon(String reason) {
        List<PipelineAction> actions = new ArrayList<>(cancelOpen());
        if (!attemptId.isEmpty() && !claimPending) {
            mayHaveRun = true;
        }
        actions.addAll(fail(verdict(reason), GATEWAY_TIMEOUT, "no whole answer within the deadline", Optional.empty()));
        return actions;
    }

    private List<PipelineAction> cancelOpen() {
        if (attemptId.isEmpty() || !stage().repeatable()) {
            return List.of();
        }
        return List.of(new PipelineAction.Cancel(attemptId, upstreamId));
    }

    private PipelineAction settle(Verdict verdict) {
        return new PipelineAction.Settle(
                new ClaimSettleMessage(request.account().name(), request.key(), stage().name(), attemptId, verdict));
    }

    private List<PipelineAction> fail(Verdict verdict, int status, String title, Optional<Duration> retryAfter) {
        ended = true;
        return List.of(new PipelineAction.Answer(PipelineAnswer.failure(verdict, status, title, retryAfter)));
    }

    private Verdict verdict(String reason) {
        if (mayHaveRun) {
            return new MayHaveRunVerdict(reason);
        }
        return ran ? new RanVerdict(reason) : new NotRunVerdict(reason);
    }
}
