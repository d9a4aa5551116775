package org.copperspindle.gateway;

import java.util.Optional;

import org.copperspindle.resume.ResumePlan;

/**
 * The interruptions of one stream: each lasts from the loss of its engine until the caller receives the next event or
 * the end of the stream.
 */
final class StreamResumption {

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final EventStreamRelay relay;
    private final RequestLogger requestLogger;
    private Optional<ResumePlan> plan = Optional.empty();
    private long stagesStartedAt;
    private long stagesNanos;

    /**
     * Creates the state of a stream that has not been interrupted.
     *
     * @param context       the shared components
     * @param admitted      the request
     * @param relay         relays its events
     * @param requestLogger writes its log lines
     */
    StreamResumption(
            GatewayContext context, AdmittedRequest admitted, EventStreamRelay relay, RequestLogger requestLogger) {
        this.context = context;
        this.admitted = admitted;
        this.relay = relay;
        this.requestLogger = requestLogger;
    }

    /** Plans the resumption after the engine was lost; does nothing before the first event of the stream. */
    void onInterrupted() {
        if (relay.lastEventAt().isEmpty() || plan.isPresent()) {
            return;
        }
        plan = context.resumptions()
                .plan(
                        admitted,
                        relay.lastEventAt().getAsLong(),
                        context.timers().nanoTime());
        stagesNanos = 0;
    }

    /** Returns the request with the times that apply now: while the stream is interrupted, those of the next event. */
    AdmittedRequest request() {
        return plan.map(admitted::resumed).orElse(admitted);
    }

    /** Records that the stages start again. */
    void onStagesStarted() {
        stagesStartedAt = context.timers().nanoTime();
    }

    /** Records that the stages are done. */
    void onStagesDone() {
        stagesNanos += context.timers().nanoTime() - stagesStartedAt;
    }

    /** Records that an event or the end of the stream has been relayed. */
    void onContinued() {
        if (plan.isEmpty()) {
            return;
        }
        long now = context.timers().nanoTime();
        boolean inTime = plan.get().isInTime(now);
        context.resumptions().recordResumed(inTime);
        requestLogger.resumed(now - plan.get().lastEventAt(), stagesNanos, inTime, now);
        plan = Optional.empty();
    }
}
