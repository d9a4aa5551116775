package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;

import org.copperspindle.admission.StageAdmissionDecision;
import org.copperspindle.admission.StageAdmissionVerdict;
import org.copperspindle.admission.StageStarts;

/**
 * The admission of one request to its stages. While the request's pools are short, the controller of their group
 * decides; otherwise, or if the controller does not respond, this node does.
 *
 * <p>A request that waits for the controller does not count as deferred: the limits on deferred requests protect the
 * pools from decisions that each node makes alone.
 */
final class StageEntrance {

    /** Interval for evaluating a deferred request again; the pools report their waits about as often. */
    private static final long DEFERRED_CHECK_NANOS = Duration.ofMillis(75).toNanos();

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamEligibility eligibility;
    private final RequestLogger requestLogger;
    private final Listener listener;
    private OptionalLong startId = OptionalLong.empty();
    private OptionalLong estimatedStagesNanos = OptionalLong.empty();
    private long stagesStartedAt;
    private boolean deferred;
    private boolean cancelled;

    /**
     * Creates the admission of a request.
     *
     * @param context       the shared components
     * @param admitted      the request
     * @param eligibility   which upstreams may get the request, which changes
     * @param requestLogger writes the log lines of the request
     * @param listener      receives the decision
     */
    StageEntrance(
            GatewayContext context,
            AdmittedRequest admitted,
            UpstreamEligibility eligibility,
            RequestLogger requestLogger,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.eligibility = eligibility;
        this.requestLogger = requestLogger;
        this.listener = listener;
    }

    /** Decides on the request, now or later. Called again when its stages have to run again. */
    void enter() {
        if (cancelled || startId.isPresent()) {
            return;
        }
        if (refuseUnservable()) {
            return;
        }
        if (context.stageStarts().isShort(admitted)) {
            askController();
        } else {
            decideLocally();
        }
    }

    /** Ends the admission of a request that has ended. */
    void cancel() {
        cancelled = true;
        setDeferred(false);
        startId.ifPresent(context.stageStarts()::cancel);
        startId = OptionalLong.empty();
    }

    /** Records that the stages are done, if this node estimated their duration. */
    void recordStages() {
        long now = context.timers().nanoTime();
        estimatedStagesNanos.ifPresent(estimate ->
                context.stageAdmission().recordStages(admitted.route(), estimate, now - stagesStartedAt, now));
    }

    /** Refuses the request if its stages would run in vain, whatever the pools and the controller say. */
    private boolean refuseUnservable() {
        if (context.isolation().isIsolated()) {
            // A partitioned node would batch calls by itself and compete with the nodes that work without it.
            refuse(Refusal.unavailable(
                    "cut-off",
                    "this node does not reach the others",
                    context.retryAfterDelays().soon()));
            return true;
        }
        OptionalLong backpressure = UpstreamSearch.backpressureNanos(
                context, admitted, eligibility::isExpected, context.timers().nanoTime());
        if (backpressure.isPresent()) {
            refuse(Refusal.backpressure(context.retryAfterDelays().after(backpressure.getAsLong())));
        }
        return backpressure.isPresent();
    }

    private void askController() {
        setDeferred(false);
        long id = context.batches().nextId();
        long askedAt = context.timers().nanoTime();
        startId = OptionalLong.of(id);
        context.stageStarts().request(admitted, id, new ControllerListener(id, askedAt));
        if (startId.isPresent() && startId.getAsLong() == id) {
            requestLogger.startAsked(id, askedAt);
        }
    }

    private void decideLocally() {
        long now = context.timers().nanoTime();
        StageAdmissionDecision decision = context.stageAdmission().decide(admitted, deferred, now);
        StageAdmissionVerdict verdict = decision.verdict();
        requestLogger.stageDecision(decision, deferred, now);
        if (verdict == StageAdmissionVerdict.HOLD) {
            setDeferred(true);
            context.timers().schedule(DEFERRED_CHECK_NANOS, this::enter);
            return;
        }
        setDeferred(false);
        if (verdict == StageAdmissionVerdict.BEGIN) {
            admit(OptionalLong.of(decision.estimatedStagesNanos()));
        } else {
            refuseFull(context.retryAfterDelays()
                    .afterBurst(admitted.times().deadlineAt() - context.timers().nanoTime()));
        }
    }

    private void admit(OptionalLong estimate) {
        stagesStartedAt = context.timers().nanoTime();
        estimatedStagesNanos = estimate;
        listener.onAdmitted();
    }

    private void refuseFull(Duration retryAfter) {
        refuse(Refusal.unavailable("stages-full", "the stages have no room for the request in its time", retryAfter));
    }

    private void refuse(Refusal refusal) {
        listener.onRefused(refusal);
    }

    private void setDeferred(boolean defer) {
        if (deferred != defer) {
            deferred = defer;
            context.stageAdmission().adjustDeferred(defer ? 1 : -1);
        }
    }

    /** Receives the decision on a request, once for each call of {@link #enter} that was not cancelled. */
    interface Listener {

        /** Called when the stages start. */
        void onAdmitted();

        /**
         * Called when the request is refused.
         *
         * @param refusal the response to the caller
         */
        void onRefused(Refusal refusal);
    }

    /**
     * Handles the decision of the controller on one start request; ignores it once that is closed. This node may
     * have become isolated, or the upstreams may have requested a backoff, while the request waited.
     */
    private final class ControllerListener implements StageStarts.Listener {
        private final long id;
        private final long askedAt;

        private ControllerListener(long id, long askedAt) {
            this.id = id;
            this.askedAt = askedAt;
        }

        @Override
        public void start() {
            if (close() && !refuseUnservable()) {
                requestLogger.startDecided(id, true, askedAt, context.timers().nanoTime());
                admit(OptionalLong.empty());
            }
        }

        @Override
        public void refuse(long retryAfterNanos) {
            if (close()) {
                requestLogger.startDecided(id, false, askedAt, context.timers().nanoTime());
                refuseFull(Duration.ofNanos(retryAfterNanos));
            }
        }

        @Override
        public void decideLocally() {
            if (close() && !refuseUnservable()) {
                StageEntrance.this.decideLocally();
            }
        }

        private boolean close() {
            boolean open = startId.isPresent() && startId.getAsLong() == id;
            startId = open ? OptionalLong.empty() : startId;
            return open;
        }
    }
}
