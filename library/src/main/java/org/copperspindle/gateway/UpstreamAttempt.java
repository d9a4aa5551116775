package org.copperspindle.gateway;

import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.EarlierResponses;
import org.copperspindle.direct.ResponseBound;
import org.copperspindle.direct.ResponseProof;
import org.copperspindle.direct.UpstreamPort.CallHandle;
import org.copperspindle.discovery.DepartureListener;
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineAttempt;
import org.copperspindle.http.BodyBuffer;
import org.copperspindle.memory.MemoryHolder;
import org.copperspindle.quarantine.RunOutcome;
import org.copperspindle.quarantine.UpstreamRun;
import org.copperspindle.route.RouteKind;

/**
 * One attempt of a request at one upstream. It ends with a relayed stream or a response, with proof that nothing ran,
 * or with a failure after which the request may have run.
 */
final class UpstreamAttempt implements DirectListener {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamAttempt.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Reason of an attempt whose stream ended before the last event. */
    private static final String EVENT_CUT = "event-cut";

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamRun run;
    private final UpstreamRecord upstream;
    private final int attemptNumber;
    private final EventStreamRelay relay;
    private final Listener listener;
    private final long sentAt;
    private final UpstreamReading reading;
    private final BufferedResponseMemory memory;
    private final BodyBuffer bufferedBody = new BodyBuffer(BufferedResponseMemory.MAX_BYTES);
    private CallHandle handle = reason -> {};
    private EngineAttempt engineAttempt = EngineAttempt.NONE;
    private UpstreamTracker.TrackedCall trackedCall;
    private Optional<DirectHead> head = Optional.empty();
    private long lastDataAt;
    private boolean isStream;
    private boolean relayed;
    private int sends;
    private boolean dropped;
    private boolean ended;

    UpstreamAttempt(
            GatewayContext context,
            AdmittedRequest admitted,
            UpstreamRun run,
            int attemptNumber,
            EventStreamRelay relay,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.run = run;
        this.upstream = run.upstream();
        this.attemptNumber = attemptNumber;
        this.relay = relay;
        this.listener = listener;
        this.sentAt = context.timers().nanoTime();
        this.lastDataAt = sentAt;
        this.memory =
                new BufferedResponseMemory(context.memory(), relay.exchange().memoryHolder());
        this.reading = new UpstreamReading(context.timers(), relay.exchange()::isWritable, context.pausedUpstreams());
    }

    /** Sends the attempt; the listener may be called before this returns. */
    void send(AttemptSpec spec) {
        trackedCall = context.tracker().started(UpstreamIncarnation.of(upstream));
        relay.exchange().onShed(this::drop);
        engineAttempt = context.engineLoads()
                .sent(admitted.pool(), upstream, admitted.request().enginePrompt());
        handle = context.port().call(context.upstreamDialect().write(spec), this);
    }

    /** Aborts the attempt because the caller left or time is up; the listener is not called after that. */
    void abort(String reason) {
        if (!ended) {
            endWithoutBlame();
            handle.abort(reason);
        }
    }

    /** Closes the connection and ends the attempt as failed. */
    void giveUp(String reason) {
        if (!ended) {
            abortAndFail(reason);
        }
    }

    boolean hasEnded() {
        return ended;
    }

    /** Returns whether anything of the request was written to the upstream, so that it may run. */
    boolean isWritten() {
        return sends > 0;
    }

    /** Returns whether an event of this attempt was relayed to the caller. */
    boolean hasRelayed() {
        return relayed;
    }

    /** Returns how long the upstream has sent nothing while it was read, in nanoseconds. */
    long silentNanos(long now) {
        if (reading.isPaused()) {
            return 0;
        }
        long since = isStream ? Math.max(lastDataAt, reading.readingSince()) : lastDataAt;
        return now - since;
    }

    @Override
    public boolean maySend() {
        return context.chooser().isReady(upstream);
    }

    @Override
    public void onSent() {
        sends++;
        if (!ended) {
            listener.onSent();
        }
    }

    @Override
    public void onHead(DirectHead received) {
        if (ended) {
            return;
        }
        head = Optional.of(received);
        lastDataAt = context.timers().nanoTime();
        isStream = admitted.route().kind() == RouteKind.STREAM && received.isSuccess();
        if (!isStream) {
            return;
        }
        if (relay.beginStream(received.status(), context.upstreamDialect().callerFields(received), memory)) {
            relay.exchange().onWritabilityChanged(reading::adjust);
            reading.begin(handle);
        } else {
            abortAndFail("upstream-status-" + received.status());
        }
    }

    @Override
    public void onData(byte[] data) {
        if (ended || dropped) {
            return;
        }
        lastDataAt = context.timers().nanoTime();
        if (!isStream) {
            buffer(data);
            return;
        }
        if (!relayed && hasChangedSoftware()) {
            abortAndFail("software-changed");
            return;
        }
        long eventsBefore = relay.eventCount();
        relay.accept(data);
        if (ended || dropped) {
            // The write closed the connection of the caller because memory is short.
            return;
        }
        if (relay.eventCount() > eventsBefore) {
            recordEvent(context.timers().nanoTime());
        }
        if (relay.eventCount() > eventsBefore && !relayed) {
            relayed = true;
            reportFirstEvent(eventsBefore > 0);
        }
        if (relay.hasGap()) {
            abortAndFail("events-missing");
        } else if (memory.isExceeded()) {
            failTooLarge(ResponseBound.EVENT);
        }
        if (!ended) {
            memory.resize(relay.bufferedBytes());
            reading.adjust();
        }
    }

    @Override
    public ResponseProof proof(EarlierResponses earlier) {
        // The id of the request proves it before its content does.
        return ResponseProof.UNPROVEN;
    }

    @Override
    public Optional<MemoryHolder> memoryHolder() {
        return Optional.of(relay.exchange().memoryHolder());
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        DirectHead response = head.orElseThrow();
        boolean complete = !isStream || relay.end();
        if (ended || dropped) {
            // The write of the last event closed the connection of the caller because memory is short.
            return;
        }
        if (!complete) {
            // A response without a length ends with its connection, also when its upstream crashes.
            connectionLost(EVENT_CUT, true);
        } else if (isStream && relay.endsInRepeatedEvents()) {
            fail(EVENT_CUT);
        } else if (context.upstreamDialect().provesNotRun(response)) {
            if (sends > 1) {
                // The upstream may have run the copy that was lost with the kept connection.
                fail("not-run-after-resend");
            } else {
                handleNotRun(response);
            }
        } else {
            end(true, "");
            context.quarantine().onSurvived(run, outcomeOf(response));
            if (isStream) {
                listener.onStreamed();
            } else {
                listener.onResponse(response, bufferedBody.take());
            }
        }
    }

    @Override
    public void onFailure(DirectFailure failure) {
        if (ended) {
            return;
        }
        if (failure.memoryShort()) {
            endWithoutBlame();
            logAttempt("failed", "memory-short");
            listener.onFailure("memory-short");
            return;
        }
        if (failure.sent()) {
            if (failure.connectionLost()) {
                connectionLost(failure.reason(), !failure.possiblyStale());
            } else {
                fail(failure.reason());
            }
            return;
        }
        if (failure.isRejected()) {
            endWithoutBlame();
        } else {
            end(false, failure.reason());
            context.quarantine().onUnreachable(run);
        }
        logAttempt("unsent", failure.reason());
        listener.onNotRun(failure.reason(), false);
    }

    private static RunOutcome outcomeOf(DirectHead response) {
        if (!response.isSuccess()) {
            return RunOutcome.FAILED;
        }
        return response.isDelimited() ? RunOutcome.ANSWERED : RunOutcome.ENDED_WITH_CONNECTION;
    }

    private void handleNotRun(DirectHead response) {
        Optional<String> other = context.upstreamDialect().otherUpstream(response);
        end(true, "");
        logAttempt("not-run", "status-" + response.status());
        if (other.isPresent() && !other.get().equals(upstream.id())) {
            // The address now belongs to another upstream: the intended one received nothing.
            context.gossip().onLeft(upstream.id(), upstream.incarnation(), DepartureListener.ADDRESS_TAKEN);
            listener.onNotRun("upstream-replaced", false);
        } else if (context.upstreamDialect().reportsMissingInputs(response)) {
            listener.onInputsLost(upstream.id());
        } else {
            listener.onNotRun("upstream-status-" + response.status(), true);
        }
    }

    private void reportFirstEvent(boolean continuesStream) {
        if (continuesStream) {
            listener.onContinued();
        } else {
            listener.onFirstEvent(context.timers().nanoTime() - sentAt);
        }
    }

    /** Records an event of the engine; time in which this node did not read is no pause of the engine. */
    private void recordEvent(long now) {
        if (reading.takePause()) {
            engineAttempt.skipPause(now);
        }
        engineAttempt.event(now);
        context.quarantine().onEvent(run);
    }

    private void buffer(byte[] data) {
        if (memory.resize(bufferedBody.capacityFor(data.length))) {
            bufferedBody.append(data, 0, data.length);
        } else if (memory.isExceeded()) {
            failTooLarge(ResponseBound.BODY);
        }
    }

    private void failTooLarge(ResponseBound bound) {
        handle.abortExceeded(bound, BufferedResponseMemory.MAX_BYTES);
        fail("answer-too-large");
    }

    /**
     * Frees what is buffered at once: the response was broken off because memory is short. The connection of its caller, whose
     * close ends this attempt, may be closed only after much more has been read on others.
     */
    private void drop() {
        if (!ended) {
            dropped = true;
            handle.abort("memory-short");
            clear();
        }
    }

    private void clear() {
        relay.clear();
        bufferedBody.clear();
    }

    private void releaseAll() {
        context.quarantine().onEnded(run);
        reading.end();
        memory.resize(0);
    }

    private void abortAndFail(String reason) {
        handle.abort(reason);
        fail(reason);
    }

    private void fail(String reason) {
        end(false, reason);
        logAttempt("failed", reason);
        listener.onFailure(reason);
    }

    /** Ends the attempt because its connection was lost, possibly because the upstream crashed. */
    private void connectionLost(String reason, boolean connectionFresh) {
        end(false, reason);
        logAttempt("failed", reason);
        context.quarantine().onConnectionFailure(run, connectionFresh, () -> listener.onFailure(reason));
    }

    /** Returns whether the version that wrote the events of this attempt is unknown. Only resumed streams depend on it. */
    private boolean hasChangedSoftware() {
        return isStream && admitted.route().resumable() && context.chooser().hasChangedSoftware(upstream);
    }

    /** Ends the attempt, of which the upstream showed nothing. */
    private void endWithoutBlame() {
        ended = true;
        releaseAll();
        clear();
        engineAttempt.ended();
        trackedCall.ended(false);
    }

    private void end(boolean succeeded, String reason) {
        ended = true;
        if (!succeeded && relayed && hasChangedSoftware()) {
            relay.endContinuation();
        }
        releaseAll();
        engineAttempt.ended();
        if (succeeded) {
            trackedCall.ended(true);
        } else {
            clear();
            trackedCall.failed(context.timers().nanoTime(), reason);
        }
    }

    private void logAttempt(String outcome, String reason) {
        long now = context.timers().nanoTime();
        if (context.log().allowsFailed(now)) {
            LOGGER.info(
                    "event=attempt-{} request={} attempt={} upstream={} reason={} took_ms={} budget_left={} digest={} parts={}",
                    outcome,
                    admitted.request().id(),
                    attemptNumber,
                    upstream.id(),
                    reason,
                    (now - sentAt) / NANOS_PER_MILLI,
                    (long) context.retryBudget().remaining(admitted.pool(), now),
                    run.request().digest().text(),
                    RequestLogger.sharedParts(admitted.request()));
        }
    }

    /** Receives the progress and, once, the end of an attempt. */
    interface Listener {

        /** Called when the request is written to its connection, once more if that was lost at once. */
        void onSent();

        /**
         * Called when the first event of the response was relayed.
         *
         * @param tookNanos time since the attempt was created
         */
        void onFirstEvent(long tookNanos);

        /** Called when the first event of an attempt that resumes a stream was relayed. */
        void onContinued();

        /** Called when the stream was relayed to its end. */
        void onStreamed();

        /**
         * Called with a complete response that is not a stream.
         *
         * @param head head of the response
         * @param body body of the response
         */
        void onResponse(DirectHead head, byte[] body);

        /**
         * Called when the attempt provably did not run.
         *
         * @param reason  what proves it
         * @param reached false if the intended upstream never received it
         */
        void onNotRun(String reason, boolean reached);

        /**
         * Called when the attempt did not run because stage results that it needs no longer exist.
         *
         * @param upstream id of the upstream
         */
        void onInputsLost(String upstream);

        /**
         * Called when there is no complete response and the request may have run.
         *
         * @param reason what happened
         */
        void onFailure(String reason);
    }
}
