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

    /**
     * Plans the resumption after the engine was lost. Before the first event there is nothing to resume, and when the
     * next engine is lost as well, the plan stays: the caller still waits for the same event.
     */
    void onInterrupted() {
        if (relay.lastEventAt().isEmpty() || isPlanned()) {
            return;
        }
        plan = context.resumptions().plan(admitted, relay.lastEventAt().getAsLong());
        stagesNanos = 0;
    }

    /** Returns the request with the times that apply now: while the stream is interrupted, those of the next event. */
    AdmittedRequest request() {
        return plan.map(admitted::resumed).orElse(admitted);
    }

    /** Returns whether the stream is interrupted and resumed by a plan. */
    boolean isPlanned() {
        return plan.isPresent();
    }

    /** Records that the stages start again. */
    void onStagesStarted() {
        stagesStartedAt = context.timers().nanoTime();
    }

    /** Records that the stages are done, or that their results were lost. */
    void onStagesEnded() {
        stagesNanos += context.timers().nanoTime() - stagesStartedAt;
    }

    /** Ends an interruption, if there is one: an event or the end of the stream has been relayed. */
    void endInterruption() {
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
