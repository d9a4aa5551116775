package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.batch.MissReason;
import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.quarantine.TrackedRequest;
import org.copperspindle.quarantine.UpstreamRun;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.time.TimerSubscription;

/**
 * One request from its admission to its answer: stages first, then attempts at upstreams, one at a time. An attempt is
 * followed by another only if it is proved not to have run, or if the request is idempotent.
 */
final class RequestRun implements StageRun.Listener {

    /** Attempts that reached no upstream cost nothing there, but each costs the caller up to a connection timeout. */
    private static final int MAX_UNSENT = 3;

    /** Stages are made anew once: results that vanish twice mean that their makers are in trouble. */
    private static final int MAX_STAGE_RUNS = 2;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Held requests are judged again this often: pools tell their waits about as often. */
    private static final long HELD_LOOK_NANOS = Duration.ofMillis(75).toNanos();

    private static final int SERVER_ERROR = 500;

    private final GatewayContext context;
    private final HttpExchange exchange;
    private final AdmittedRequest admitted;
    private final GatewayRequest request;
    private final Route route;
    private final String pool;
    private final long beganAt;
    private final long endAt;
    private final AnswerRelay relay;
    private final RequestLines lines;
    private final TrackedRequest watched;
    private final Set<String> tried = new HashSet<>();
    private final UpstreamAttempt.Owner owner = new AttemptOwner();
    private Optional<StageRun> stages = Optional.empty();
    private Optional<AttemptTurn> turn = Optional.empty();
    private Optional<UpstreamAttempt> attempt = Optional.empty();
    private Optional<UpstreamRun> lastRun = Optional.empty();
    private TimerSubscription timeout = () -> {};
    private long begunAt;
    private long reckonedNanos;
    private long firstEventAt;
    private int stageRuns;
    private int sent;
    private int unsent;
    private boolean held;
    private boolean mayHaveRun;
    private boolean over;

    RequestRun(GatewayContext context, HttpExchange exchange, AdmittedRequest admitted) {
        this.context = context;
        this.exchange = exchange;
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.pool = admitted.pool();
        this.beganAt = admitted.times().beganAt();
        this.endAt = admitted.times().endAt();
        this.relay = new AnswerRelay(exchange, context.timers()::nanoTime);
        this.watched = admitted.watched();
        this.lines = new RequestLines(context.log(), context.tracker(), admitted);
    }

    /** Begins; the answer comes later. */
    void start() {
        context.counters().recordStart();
        context.openRequests().add(this);
        context.retryBudget().recordRequest(pool, beganAt);
        lines.admitted();
        timeout = context.timers().schedule(endAt - context.timers().nanoTime(), this::timedOut);
        exchange.onClosed(this::callerLeft);
        if (over) {
            return;
        }
        if (context.quarantine().isQuarantined(watched)) {
            holdOff();
        } else if (route.stages().isEmpty()) {
            attempt();
        } else {
            passGate();
        }
    }

    /** Says whether no upstream has got the request. */
    boolean isUnsent() {
        return attempt.isEmpty() && !mayHaveRun && !relay.hasStarted();
    }

    /** Refuses a request that has not run, because this node stops. */
    void refuseStopping() {
        refuse(unavailable("stopping", "this node stops"));
    }

    /** Ends a request for good, because the process is about to end. */
    void endStopping() {
        if (over) {
            return;
        }
        if (isUnsent()) {
            refuseStopping();
            return;
        }
        attempt.ifPresent(a -> a.abort("stopping"));
        if (relay.hasStarted()) {
            breakOff("stopping");
        } else {
            refuse(Refusal.failed("stopping"));
        }
    }

    @Override
    public void onStagesDone() {
        if (stageRuns == 1 && !route.stages().isEmpty()) {
            long now = context.timers().nanoTime();
            context.stageAdmission().ran(route, reckonedNanos, now - begunAt, now);
        }
        attempt();
    }

    @Override
    public void onMissed(int stage, MissReason reason) {
        if (reason == MissReason.INPUT_GONE && stageRuns < MAX_STAGE_RUNS) {
            beginAgain();
            return;
        }
        if (relay.hasStarted()) {
            breakOff("stage-" + stage + "-missed");
            return;
        }
        if (mayHaveRun) {
            refuse(Refusal.failed("stage-" + stage + "-missed"));
            return;
        }
        refuse(unavailable(
                "stage-" + stage + "-" + reason.name().toLowerCase(Locale.ROOT), "a stage could not be run in time"));
    }

    private void passGate() {
        if (over) {
            return;
        }
        if (context.isolation().isIsolated()) {
            // Packing calls by itself, it would get into the way of the nodes that go on without it.
            refuse(unavailable("cut-off", "this node does not reach the others"));
            return;
        }
        long now = context.timers().nanoTime();
        OptionalLong tooLate = AttemptTurn.tooLateNanos(context, admitted, tried, now);
        if (tooLate.isPresent()) {
            // Its stages would be made for nothing.
            refuse(Refusal.inNeed(context.retryAfterDelays().after(tooLate.getAsLong())));
            return;
        }
        StageAdmissionDecision judgement = context.stageAdmission().judge(admitted, held, now);
        StageAdmissionVerdict verdict = judgement.verdict();
        lines.gate(judgement, held, now);
        if (verdict == StageAdmissionVerdict.HOLD) {
            hold(true);
            context.timers().schedule(HELD_LOOK_NANOS, this::passGate);
            return;
        }
        hold(false);
        if (verdict == StageAdmissionVerdict.BEGIN) {
            begunAt = now;
            reckonedNanos = judgement.reckonedNanos();
            runStages();
        } else {
            refuse(Refusal.unavailable(
                    "stages-full",
                    "the stages have no room for the request in its time",
                    context.retryAfterDelays()
                            .afterBurst(endAt - context.timers().nanoTime())));
        }
    }

    private void hold(boolean holds) {
        if (held != holds) {
            held = holds;
            context.stageAdmission().held(holds ? 1 : -1);
        }
    }

    /**
     * Has all results made once more. Results are forgotten where stages wait for seconds; made again at once, they would
     * add to the load that they were lost in, so that a request of which nothing ran passes the gate again.
     */
    private void beginAgain() {
        if (mayHaveRun || relay.hasStarted()) {
            runStages();
            return;
        }
        stages.ifPresent(StageRun::end);
        passGate();
    }

    private void runStagesAgain() {
        if (stageRuns < MAX_STAGE_RUNS) {
            runStages();
        } else if (relay.hasStarted()) {
            breakOff("stages-lost");
        } else {
            refuse(mayHaveRun ? Refusal.failed("stages-lost") : unavailable("stages-lost", "stage results were lost"));
        }
    }

    private void runStages() {
        stages.ifPresent(StageRun::end);
        stageRuns++;
        StageRun run = new StageRun(
                admitted,
                meantDomain(),
                context.firstEventLatencies().nanos(route),
                context.batches(),
                context.timers(),
                this);
        stages = Optional.of(run);
        run.start();
    }

    /**
     * Returns the failure domain of the upstream that the request would go to now. Its large stage results are made there if
     * that costs no time: what crosses failure domains is what stage work costs most.
     */
    private Optional<String> meantDomain() {
        return choose(StageInputs.NONE, context.timers().nanoTime()).map(UpstreamRecord::failureDomain);
    }

    private Optional<UpstreamRecord> choose(StageInputs inputs, long now) {
        return admitted.table().findPool(pool).flatMap(p -> context.chooser().choose(p, request, inputs, tried, now));
    }

    private void attempt() {
        if (over) {
            return;
        }
        if (context.quarantine().isQuarantined(watched)) {
            // Upstreams ended under it while its stages ran.
            holdOff();
            return;
        }
        if (stages.filter(StageRun::isOver).isPresent()) {
            // The results were given up; another attempt needs new ones.
            runStagesAgain();
            return;
        }
        StageInputs inputs = stages.map(StageRun::inputs).orElse(StageInputs.NONE);
        turn = Optional.of(new AttemptTurn(context, admitted, tried, inputs, new TurnOwner()));
        turn.get().seek();
    }

    private void send(UpstreamRecord upstream, long now) {
        tried.add(upstream.id());
        context.coldAdmission().recordSend(upstream.id(), now);
        sent++;
        context.counters().recordAttempt(route.name(), sent > 1, now - beganAt);
        Optional<String> resumeAfter = relay.lastId().isPresent()
                ? Optional.of(Long.toString(relay.lastId().getAsLong()))
                : request.resumeAfter();
        AttemptSpec order = new AttemptSpec(
                request,
                upstream,
                Math.max(1, (endAt - now) / NANOS_PER_MILLI),
                admitted.account().map(ClientAccount::name),
                stages.map(StageRun::results),
                resumeAfter,
                admitted.rank(),
                connectionUse());
        lines.attemptSent(sent, upstream, resumeAfter, now);
        UpstreamRun run = context.quarantine().startRun(watched, upstream, lastRun);
        lastRun = Optional.of(run);
        UpstreamAttempt next = new UpstreamAttempt(context, admitted, run, sent, relay, owner);
        attempt = Optional.of(next);
        next.send(order);
        stages.ifPresent(made -> giveUpResults(made, next));
    }

    /**
     * Says on which connection the next attempt may go out. Repeats and suspected requests get new ones: a kept connection may have
     * been dead before, and its loss would not tell whether the request ended one more upstream.
     */
    private ConnectionUse connectionUse() {
        boolean maySeeStale =
                route.isIdempotent() && sent == 1 && !context.quarantine().isSuspected(watched);
        return maySeeStale ? ConnectionUse.KEPT : ConnectionUse.NEW;
    }

    /**
     * Gives the stage results up while the upstream reads the prompt, before which it has fetched them. Kept until the first
     * event, they would leave calls of the pool without room: long prompts make engines slow just when many requests end
     * their stages.
     */
    private void giveUpResults(StageRun run, UpstreamAttempt reader) {
        context.timers().schedule(run.fetchNanos(context.fetchTime()), () -> {
            if (attempt.filter(a -> a == reader).isPresent()) {
                run.end();
            }
        });
    }

    /** What follows an attempt that is proved not to have run. */
    private void afterNotRun(String reason, boolean reached) {
        if (!reached) {
            sent--;
            unsent++;
        }
        boolean mayTry = reached ? sent < route.maxAttempts() && takeRepeat() : unsent < MAX_UNSENT;
        if (mayTry) {
            attempt();
        } else if (relay.hasStarted()) {
            breakOff(reason);
        } else if (mayHaveRun) {
            refuse(Refusal.failed(reason));
        } else {
            refuse(unavailable(reason, "the upstream did not take the request"));
        }
    }

    /** What follows an attempt that ran or may have run, and gave no whole answer. */
    private void afterFailure(String reason) {
        mayHaveRun = true;
        if (context.quarantine().isQuarantined(watched)) {
            holdOff();
        } else if (route.isIdempotent() && sent < route.maxAttempts() && takeRepeat()) {
            relay.forgetHead();
            attempt();
        } else if (relay.hasStarted()) {
            breakOff(reason);
        } else {
            refuse(Refusal.failed(reason));
        }
    }

    private boolean takeRepeat() {
        return context.retryBudget().tryAcquire(pool, context.timers().nanoTime());
    }

    private void timedOut() {
        if (over) {
            return;
        }
        attempt.ifPresent(a -> a.abort("timeout"));
        if (relay.hasStarted()) {
            breakOff("timeout");
        } else if (mayHaveRun || attempt.isPresent()) {
            refuse(Refusal.timedOut());
        } else {
            refuse(unavailable("timeout", "the time of the request is over"));
        }
    }

    private void callerLeft() {
        if (over) {
            return;
        }
        attempt.ifPresent(a -> a.abort("caller-left"));
        end("caller-left", false);
    }

    private void breakOff(String reason) {
        exchange.breakOff();
        end("broken-" + reason, true);
    }

    private void holdOff() {
        if (relay.hasStarted()) {
            breakOff(Refusal.ENDS_UPSTREAMS);
        } else {
            refuse(Refusal.endsUpstreams(mayHaveRun));
        }
    }

    private void refuse(Refusal refusal) {
        refusal.send(exchange, context.callers(), request.id());
        end(refusal.verdict().reason(), true);
    }

    private void end(String outcome, boolean failed) {
        over = true;
        hold(false);
        context.openRequests().remove(this);
        timeout.cancel();
        turn.ifPresent(AttemptTurn::cancel);
        stages.ifPresent(StageRun::end);
        long now = context.timers().nanoTime();
        context.counters().recordEnd(route.name(), admitted.accountName(), outcome, now - beganAt);
        lines.ended(outcome, failed, new RequestProgress(sent, unsent, stageRuns, mayHaveRun), relay, now);
    }

    private Refusal unavailable(String reason, String title) {
        return Refusal.unavailable(reason, title, context.retryAfterDelays().soon());
    }

    /** What follows from the search for an upstream. */
    private final class TurnOwner implements AttemptTurn.Listener {
        @Override
        public void onTurn(UpstreamRecord upstream) {
            if (context.quarantine().isQuarantined(watched)) {
                // Upstreams ended under it while it waited.
                holdOff();
            } else {
                send(upstream, context.timers().nanoTime());
            }
        }

        @Override
        public void onNoUpstream(OptionalLong freeNanos) {
            if (relay.hasStarted()) {
                breakOff("no-upstream");
            } else if (mayHaveRun) {
                refuse(Refusal.failed("no-other-upstream"));
            } else if (freeNanos.isPresent()) {
                refuse(Refusal.inNeed(context.retryAfterDelays().after(freeNanos.getAsLong())));
            } else {
                refuse(unavailable("no-upstream", "no upstream of the pool can take the request"));
            }
        }
    }

    /** What follows from how an attempt went. */
    private final class AttemptOwner implements UpstreamAttempt.Owner {
        @Override
        public void onFirstEvent(long tookNanos) {
            // The upstream has read its inputs before its first event.
            stages.ifPresent(StageRun::end);
            context.fetchTime().recordSuccess();
            context.firstEventLatencies().seen(route, tookNanos);
            firstEventAt = context.timers().nanoTime();
        }

        @Override
        public void onStreamed() {
            attempt = Optional.empty();
            context.streamDurations().seen(route, context.timers().nanoTime() - firstEventAt);
            relay.finish();
            end("streamed", false);
        }

        @Override
        public void onAnswer(DirectHead head, byte[] body) {
            attempt = Optional.empty();
            if (relay.hasStarted()) {
                // The stream was to go on here; the caller can't be given another answer in the middle of it.
                afterFailure("upstream-status-" + head.status());
            } else if (head.status() >= SERVER_ERROR && route.isIdempotent() && mayRepeat()) {
                afterFailure("upstream-status-" + head.status());
            } else {
                exchange.respond(head.status(), context.upstreams().callerFields(head), body);
                end("status-" + head.status(), head.status() >= SERVER_ERROR);
            }
        }

        @Override
        public void onNotRun(String reason, boolean reached) {
            attempt = Optional.empty();
            afterNotRun(reason, reached);
        }

        @Override
        public void onInputsLost(String upstream) {
            attempt = Optional.empty();
            if (stages.filter(StageRun::isOver).isPresent()) {
                context.fetchTime().recordEarlyRelease();
            }
            if (stageRuns < MAX_STAGE_RUNS) {
                sent--;
                tried.remove(upstream);
                runStages();
            } else {
                afterNotRun("inputs-lost", true);
            }
        }

        @Override
        public void onFailure(String reason) {
            attempt = Optional.empty();
            // The caller may have left while it was found out whether the upstream ended.
            if (!over) {
                afterFailure(reason);
            }
        }

        private boolean mayRepeat() {
            return sent < route.maxAttempts()
                    && context.retryBudget().remaining(pool, context.timers().nanoTime()) >= 1;
        }
    }
}
