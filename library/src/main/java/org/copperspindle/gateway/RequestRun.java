package org.copperspindle.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.batch.MissReason;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.quarantine.UpstreamRun;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.time.TimerSubscription;

/**
 * Processes one request from its admission to its response: the stages first, then attempts at upstreams, one at a
 * time. A failed attempt is retried only if it provably did not run, or if the route is idempotent.
 */
final class RequestRun implements StageRun.Listener {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final GatewayContext context;
    private final HttpExchange exchange;
    private final AdmittedRequest admitted;
    private final GatewayRequest request;
    private final Route route;
    private final long admittedAt;
    private final EventStreamRelay relay;
    private final RequestLogger requestLogger;
    private final QuarantineGuard quarantine;
    private final StreamResumption resumption;
    private final SilenceWatch silence;
    private final RequestStages stages;
    private final UpstreamEligibility eligibility;
    private final UpstreamForecast forecast;
    private final StreamSoftware software;
    private final AttemptBudget attempts;
    private final StageEntrance entrance;
    private final UpstreamTime upstreamTime;
    private final UpstreamAttempt.Listener attemptListener = new AttemptListener();
    private Optional<UpstreamSearch> search = Optional.empty();
    private Optional<UpstreamAttempt> attempt = Optional.empty();
    private Optional<UpstreamRun> lastRun = Optional.empty();
    private TimerSubscription timeout = () -> {};
    private long firstEventAt;
    private boolean mayHaveRun;
    private boolean ended;

    RequestRun(GatewayContext context, HttpExchange exchange, AdmittedRequest admitted) {
        this.context = context;
        this.exchange = exchange;
        this.admitted = admitted;
        this.request = admitted.request();
        this.route = admitted.route();
        this.admittedAt = admitted.times().admittedAt();
        this.relay = new EventStreamRelay(exchange, context.timers()::nanoTime, admitted);
        this.quarantine = new QuarantineGuard(context.quarantine(), admitted.tracked());
        this.eligibility = new UpstreamEligibility(quarantine::permits);
        this.forecast = new UpstreamForecast(context, admitted, eligibility);
        exchange.memoryHolder().describe(request.id(), route.isIdempotent());
        this.requestLogger = new RequestLogger(context.log(), context.tracker(), admitted);
        this.resumption = new StreamResumption(context, admitted, relay, requestLogger);
        this.silence = new SilenceWatch(context, admitted, this::canMoveElsewhere);
        this.stages = new RequestStages(context, admitted, resumption, forecast::failureDomainAfterStages, this);
        this.software = new StreamSoftware(context, admitted, eligibility, requestLogger);
        this.attempts = new AttemptBudget(context, admitted);
        this.upstreamTime = new UpstreamTime(context, admitted);
        this.entrance = new StageEntrance(context, admitted, eligibility, requestLogger, new EntranceListener());
    }

    /** Starts processing; the response is sent later. */
    void start() {
        context.counters().recordStart();
        context.openRequests().add(this, request);
        context.retryBudget().recordRequest(admitted.pool(), admittedAt);
        requestLogger.admitted();
        timeout = context.timers()
                .schedule(admitted.times().deadlineAt() - context.timers().nanoTime(), this::timedOut);
        exchange.onClosed(this::callerLeft);
        if (ended || refuseIfQuarantined() || refuseIfLate()) {
            return;
        }
        if (software.isTakenUp()) {
            software.find(this::onOriginFound);
        } else {
            begin();
        }
    }

    /**
     * Refuses a request that no upstream has received and that is likely to outlast the stop of this node; returns
     * whether it has been refused.
     */
    boolean refuseIfLate() {
        boolean unsent =
                !ended && attempt.filter(UpstreamAttempt::isWritten).isEmpty() && !mayHaveRun && !relay.hasStarted();
        boolean late = unsent
                && !context.openRequests().maySend(admitted, context.timers().nanoTime());
        if (late) {
            abortStopping();
        }
        return late;
    }

    /** Ends a request because the process is about to exit. */
    void abortStopping() {
        if (!ended) {
            abortAttempt("stopping");
            endUnserved("stopping", "this node stops");
        }
    }

    /**
     * Ends a request that has become quarantined. An attempt that waits at its upstream is aborted, also one that is to
     * resume a stream: it would crash that upstream too.
     */
    void endIfQuarantined() {
        if (!ended && quarantine.mustEnd(attempt, lastRun)) {
            abortAttempt(Refusal.CRASHES_UPSTREAMS);
            endQuarantined();
        }
    }

    @Override
    public void onStagesDone() {
        if (stages.runs() == 1) {
            entrance.recordStages();
        }
        resumption.onStagesEnded();
        startAttempt();
    }

    @Override
    public void onMissed(int stage, MissReason reason) {
        resumption.onStagesEnded();
        if (reason == MissReason.INPUT_GONE && tryRestartStages()) {
            return;
        }
        String cause =
                mayHaveRun || relay.hasStarted() ? "missed" : reason.name().toLowerCase(Locale.ROOT);
        endUnserved("stage-" + stage + '-' + cause, "a stage could not be run in time");
    }

    /**
     * Runs all stages again; returns false if they may not. An immediate second run would add to a load under which
     * producers drop results, so a request that no upstream has received passes the stage admission again.
     */
    private boolean tryRestartStages() {
        if (!stages.tryAcquireRunAfterLoss()) {
            return false;
        }
        if (mayHaveRun || relay.hasStarted()) {
            stages.run();
        } else {
            stages.release();
            entrance.enter();
        }
        return true;
    }

    /** Makes results that are known to be lost again, or ends the request; returns whether there are any. */
    private boolean replaceLostResults() {
        boolean lost = stages.isLost();
        if (lost && !tryRestartStages()) {
            endUnserved("inputs-lost", "stage results were lost");
        }
        return lost;
    }

    /** Starts the work on a request that may be sent: its stages, or the first attempt. */
    private void begin() {
        if (route.stages().isEmpty()) {
            startAttempt();
        } else {
            entrance.enter();
        }
    }

    /** Starts a request that takes up a stream, unless it may be sent nowhere. */
    private void onOriginFound(boolean known) {
        if (ended) {
            return;
        }
        if (!known) {
            refuse(unavailable("origin-unknown", "no node knows which software version began the stream"));
        } else if (!refuseIfSoftwareGone()) {
            begin();
        }
    }

    private void startAttempt() {
        // The request may have been quarantined while its stages ran.
        if (ended || refuseIfQuarantined() || refuseIfSoftwareGone() || replaceLostResults()) {
            return;
        }
        if (stages.isReleased()) {
            // Another attempt needs new results.
            if (!stages.tryRunAfterRelease(relay.hasStarted())) {
                endUnserved("stages-lost", "stage results were lost");
            }
            return;
        }
        AdmittedRequest current = resumption.request();
        search = Optional.of(new UpstreamSearch(
                context, current, eligibility, stages.inputs(), current.resumedUntil(), new SearchListener()));
        search.get().waitFor(eligibility::isAwaited);
        search.get().seek();
    }

    /** Ends a request whose caller holds events that no upstream may continue; returns whether that is so. */
    private boolean refuseIfSoftwareGone() {
        boolean gone = software.isSoftwareGone();
        if (gone) {
            endUnserved("software-gone", "no other upstream runs the software version that began the stream");
        }
        return gone;
    }

    private void send(UpstreamRecord upstream, long now) {
        upstreamTime.begin();
        eligibility.exclude(upstream.id());
        software.onSelected(upstream);
        context.coldAdmission().recordSend(upstream.id(), now);
        attempts.recordSent();
        context.counters().recordAttempt(route.name(), attempts.sent() > 1, now - admittedAt);
        Optional<String> resumeAfter = relay.resumeAfter();
        AttemptSpec spec = new AttemptSpec(
                request,
                upstream,
                Math.max(1, (admitted.times().deadlineAt() - now) / NANOS_PER_MILLI),
                admitted.account().map(ClientAccount::name),
                stages.results(),
                resumeAfter,
                admitted.rank(),
                attempts.connectionUse(quarantine.isSuspected()));
        requestLogger.attemptSent(
                attempts.sent(),
                upstream,
                resumeAfter,
                () -> context.engineLoads().estimate(admitted.pool(), upstream, request.enginePrompt()),
                search.flatMap(UpstreamSearch::placement),
                now);
        UpstreamRun run = quarantine.startRun(upstream, lastRun);
        lastRun = Optional.of(run);
        UpstreamAttempt next = new UpstreamAttempt(context, admitted, run, attempts.sent(), relay, attemptListener);
        attempt = Optional.of(next);
        if (relay.hasStarted()) {
            silence.watch(next);
        }
        next.send(spec);
    }

    /** Handles an attempt that provably did not run. */
    private void handleNotRun(String reason, boolean reached) {
        if (reached ? attempts.tryAcquireRetry() : attempts.tryRepeatUnsent()) {
            startAttempt();
        } else {
            endUnserved(reason, "the upstream did not take the request");
        }
    }

    /** Handles an attempt that ran or may have run, without a complete response. */
    private void handleFailure(String reason) {
        mayHaveRun = true;
        if (refuseIfQuarantined()) {
            return;
        }
        if (isRepeatable() && attempts.tryAcquireRetry()) {
            resumption.onInterrupted();
            startAttempt();
        } else if (relay.hasStarted()) {
            abortResponse(reason);
        } else {
            refuse(Refusal.failed(reason));
        }
    }

    /** Returns whether the request may run twice, and another upstream could go on where the caller is. */
    private boolean isRepeatable() {
        return route.isIdempotent() && relay.canContinue();
    }

    /** Returns whether another upstream could take the stream now, so that its present one may be given up. */
    private boolean canMoveElsewhere() {
        return !context.isolation().isIsolated()
                && !quarantine.isQuarantined()
                && isRepeatable()
                && attempts.hasLeft()
                && forecast.afterNanos(0).isPresent();
    }

    private void timedOut() {
        if (ended) {
            return;
        }
        upstreamTime.recordEnd();
        attempt.ifPresent(a -> a.abort("timeout"));
        if (relay.hasStarted()) {
            abortResponse("timeout");
        } else if (mayHaveRun || attempt.isPresent()) {
            refuse(Refusal.timedOut());
        } else {
            refuse(unavailable("timeout", "the time of the request is over"));
        }
    }

    private void callerLeft() {
        if (ended) {
            return;
        }
        attempt.ifPresent(a -> a.abort("caller-left"));
        finish(exchange.wasShed() ? "broken-memory-short" : "caller-left", exchange.wasShed());
    }

    private void abortResponse(String reason) {
        exchange.abortResponse();
        finish("broken-" + reason, true);
    }

    /** Ends a request that is quarantined; returns whether it is. */
    private boolean refuseIfQuarantined() {
        if (!quarantine.isQuarantined()) {
            return false;
        }
        endQuarantined();
        return true;
    }

    private void endQuarantined() {
        if (relay.hasStarted()) {
            abortResponse(Refusal.CRASHES_UPSTREAMS);
        } else {
            refuse(quarantine.refusal(mayHaveRun));
        }
    }

    /** Ends a request that no upstream goes on with; the response promises no more than is known of earlier attempts. */
    private void endUnserved(String reason, String title) {
        if (relay.hasStarted()) {
            abortResponse(reason);
        } else if (mayHaveRun) {
            refuse(Refusal.failed(reason));
        } else {
            refuse(unavailable(reason, title));
        }
    }

    private void refuse(Refusal refusal) {
        refusal.send(exchange, context.callerDialect(), request.id());
        finish(refusal.verdict().reason(), true);
    }

    private void finish(String outcome, boolean failed) {
        ended = true;
        entrance.cancel();
        context.openRequests().remove(this, request);
        timeout.cancel();
        silence.cancel();
        software.onAttemptEnded();
        search.ifPresent(UpstreamSearch::cancel);
        stages.release();
        long now = context.timers().nanoTime();
        context.counters().recordEnd(route.name(), admitted.accountName(), outcome, now - admittedAt);
        RequestProgress progress = new RequestProgress(attempts.sent(), attempts.unsent(), stages.runs(), mayHaveRun);
        requestLogger.ended(outcome, failed, progress, relay, now);
    }

    /** Aborts the attempt, if there is one; unless it is written already, it never will be. */
    private void abortAttempt(String reason) {
        mayHaveRun |= attempt.filter(UpstreamAttempt::isWritten).isPresent();
        attempt.ifPresent(a -> a.abort(reason));
    }

    private Refusal unavailable(String reason, String title) {
        return Refusal.unavailable(reason, title, context.retryAfterDelays().soon());
    }

    /** Handles the decision on the start of the stages. */
    private final class EntranceListener implements StageEntrance.Listener {
        @Override
        public void onAdmitted() {
            // The request may have been quarantined while it waited.
            if (!refuseIfQuarantined()) {
                stages.run();
            }
        }

        @Override
        public void onRefused(Refusal refusal) {
            refuse(refusal);
        }
    }

    /** Handles the result of the search for an upstream. */
    private final class SearchListener implements UpstreamSearch.Listener {
        @Override
        public void onUpstreamSelected(UpstreamRecord upstream) {
            // The request may have been quarantined, or this node may have begun to stop, while it waited.
            if (refuseIfQuarantined() || refuseIfLate() || replaceLostResults()) {
                return;
            }
            if (quarantine.permits(upstream)) {
                send(upstream, context.timers().nanoTime());
            } else {
                startAttempt();
            }
        }

        @Override
        public void onNoUpstream(OptionalLong freeNanos) {
            if (relay.hasStarted()) {
                abortResponse("no-upstream");
            } else {
                refuse(Refusal.noUpstream(mayHaveRun, freeNanos, context.retryAfterDelays()));
            }
        }
    }

    /** Handles the progress and the end of an attempt. */
    private final class AttemptListener implements UpstreamAttempt.Listener {
        @Override
        public void onSent() {
            Optional<UpstreamAttempt> reader = attempt;
            stages.releaseOnceFetched(() -> attempt.equals(reader));
            lastRun.map(UpstreamRun::upstream).ifPresent(software::onSent);
        }

        @Override
        public void onFirstEvent(long tookNanos) {
            stages.onInputsFetched();
            context.firstEventLatencies().observe(route, tookNanos);
            firstEventAt = context.timers().nanoTime();
            lastRun.map(UpstreamRun::upstream).ifPresent(software::onFirstEvent);
            attempt.ifPresent(silence::watch);
        }

        @Override
        public void onContinued() {
            stages.onInputsFetched();
            resumption.endInterruption();
            attempt.ifPresent(silence::watch);
        }

        @Override
        public void onStreamed() {
            endAttempt();
            resumption.endInterruption();
            context.streamDurations().observe(route, context.timers().nanoTime() - firstEventAt);
            upstreamTime.recordEnd();
            relay.finish();
            finish("streamed", false);
        }

        @Override
        public void onResponse(DirectHead head, byte[] body) {
            endAttempt();
            boolean isRetried = head.isServerError() && route.isIdempotent() && attempts.hasLeft();
            // Once the response to the caller has started, the attempt was to resume the stream.
            if (relay.hasStarted() || isRetried) {
                handleFailure("upstream-status-" + head.status());
            } else {
                upstreamTime.recordEnd();
                exchange.respond(head.status(), context.upstreamDialect().callerFields(head), body);
                finish("status-" + head.status(), head.isServerError());
            }
        }

        @Override
        public void onNotRun(String reason, boolean reached) {
            endAttempt();
            handleNotRun(reason, reached);
        }

        @Override
        public void onInputsLost(String upstream) {
            endAttempt();
            stages.onInputsLost();
            if (stages.tryAcquireRunAfterLoss()) {
                attempts.takeBack();
                eligibility.readmit(upstream);
                stages.run();
            } else {
                handleNotRun("inputs-lost", true);
            }
        }

        @Override
        public void onFailure(String reason) {
            endAttempt();
            // The caller may have left while the quarantine checked whether the upstream crashed.
            if (!ended) {
                handleFailure(reason);
            }
        }

        private void endAttempt() {
            attempt = Optional.empty();
            software.onAttemptEnded();
        }
    }
}
