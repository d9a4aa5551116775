package org.copperspindle.gateway;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.DirectFailure;
import org.copperspindle.direct.DirectHead;
import org.copperspindle.direct.DirectListener;
import org.copperspindle.direct.UpstreamPort.CallHandle;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.quarantine.UpstreamRun;
import org.copperspindle.route.RouteKind;

/**
 * One attempt of a request at one upstream, from its sending to what it proves: a stream or an answer to pass on, that
 * nothing ran, or a failure after which the request may have run.
 */
final class UpstreamAttempt implements DirectListener {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamAttempt.class);
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Largest answer that is held to be passed on whole. */
    private static final int MAX_HELD_BYTES = 8 << 20;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamRun run;
    private final UpstreamRecord upstream;
    private final int number;
    private final AnswerRelay relay;
    private final Owner owner;
    private final long sentAt;
    private final ByteArrayOutputStream held = new ByteArrayOutputStream();
    private CallHandle handle = reason -> {};
    private Optional<DirectHead> head = Optional.empty();
    private boolean streams;
    private boolean ended;

    UpstreamAttempt(
            GatewayContext context,
            AdmittedRequest admitted,
            UpstreamRun run,
            int number,
            AnswerRelay relay,
            Owner owner) {
        this.context = context;
        this.admitted = admitted;
        this.run = run;
        this.upstream = run.upstream();
        this.number = number;
        this.relay = relay;
        this.owner = owner;
        this.sentAt = context.timers().nanoTime();
    }

    /** Sends the attempt; its owner may hear of it before this returns. */
    void send(AttemptSpec order) {
        context.tracker().started(upstream.id());
        handle = context.port().call(context.upstreams().write(order), this);
    }

    /** Ends the attempt for a reason of the caller's or of the clock; its owner hears nothing more. */
    void abort(String reason) {
        if (ended) {
            return;
        }
        ended = true;
        handle.abort(reason);
        context.tracker().ended(upstream.id(), false);
    }

    @Override
    public void onHead(DirectHead received) {
        if (ended) {
            return;
        }
        head = Optional.of(received);
        streams = admitted.route().kind() == RouteKind.STREAM && received.isSuccess();
        if (streams) {
            relay.begin(received.status(), context.upstreams().callerFields(received));
        }
    }

    @Override
    public void onData(byte[] data) {
        if (ended) {
            return;
        }
        if (!streams) {
            hold(data);
            return;
        }
        boolean before = relay.hasStarted();
        if (!relay.accept(data)) {
            abortAndFail("events-missing");
        } else if (!before && relay.hasStarted()) {
            owner.onFirstEvent(context.timers().nanoTime() - sentAt);
        }
    }

    @Override
    public void onEnd() {
        if (ended) {
            return;
        }
        DirectHead answer = head.orElseThrow();
        if (streams && !relay.isWhole()) {
            // An answer without a length ends with its connection, also when its upstream ends.
            lose("event-cut", true);
        } else if (context.upstreams().provesNotRun(answer)) {
            notRun(answer);
        } else {
            close(true, "");
            context.quarantine().onSurvived(run);
            if (streams) {
                owner.onStreamed();
            } else {
                owner.onAnswer(answer, held.toByteArray());
            }
        }
    }

    @Override
    public void onFailure(DirectFailure failure) {
        if (ended) {
            return;
        }
        if (failure.sent()) {
            if (failure.connectionLost()) {
                lose(failure.reason(), !failure.possiblyStale());
            } else {
                fail(failure.reason());
            }
            return;
        }
        close(false, failure.reason());
        note("unsent", failure.reason());
        owner.onNotRun(failure.reason(), false);
    }

    private void notRun(DirectHead answer) {
        Optional<String> other = context.upstreams().otherUpstream(answer);
        close(true, "");
        note("not-run", "status-" + answer.status());
        if (other.isPresent() && !other.get().equals(upstream.id())) {
            // The address belongs to another upstream now: nothing reached the one that was meant.
            context.gossip().onLeft(upstream.id(), upstream.incarnation(), "address-answers-for-another");
            owner.onNotRun("upstream-replaced", false);
        } else if (context.upstreams().reportsMissingInputs(answer)) {
            owner.onInputsLost(upstream.id());
        } else {
            owner.onNotRun("upstream-status-" + answer.status(), true);
        }
    }

    private void hold(byte[] data) {
        held.writeBytes(data);
        if (held.size() > MAX_HELD_BYTES) {
            abortAndFail("answer-too-large");
        }
    }

    private void abortAndFail(String reason) {
        handle.abort(reason);
        fail(reason);
    }

    private void fail(String reason) {
        close(false, reason);
        note("failed", reason);
        owner.onFailure(reason);
    }

    /** Ends the attempt because its connection ended, perhaps with the upstream. */
    private void lose(String reason, boolean wasThere) {
        close(false, reason);
        note("failed", reason);
        context.quarantine().onConnectionFailure(run, wasThere, () -> owner.onFailure(reason));
    }

    private void close(boolean good, String reason) {
        ended = true;
        if (good) {
            context.tracker().ended(upstream.id(), true);
        } else {
            context.tracker().failed(upstream.id(), context.timers().nanoTime(), reason);
        }
    }

    private void note(String outcome, String reason) {
        long now = context.timers().nanoTime();
        if (context.log().takesFailed(now)) {
            LOGGER.info(
                    "event=attempt-{} request={} attempt={} upstream={} reason={} took_ms={} budget_left={} digest={}",
                    outcome,
                    admitted.request().id(),
                    number,
                    upstream.id(),
                    reason,
                    (now - sentAt) / NANOS_PER_MILLI,
                    (long) context.retryBudget().remaining(admitted.pool(), now),
                    run.request().digest().text());
        }
    }

    /** The request that an attempt belongs to. Hears once how it ended. */
    interface Owner {

        /**
         * The first event of the answer was passed on.
         *
         * @param tookNanos how long after the attempt was made
         */
        void onFirstEvent(long tookNanos);

        /** The stream was passed on to its end. */
        void onStreamed();

        /**
         * The upstream gave a whole answer that is no stream.
         *
         * @param head its head
         * @param body its body
         */
        void onAnswer(DirectHead head, byte[] body);

        /**
         * The attempt is proved not to have run.
         *
         * @param reason  what proves it
         * @param reached false if the upstream that was meant never got it
         */
        void onNotRun(String reason, boolean reached);

        /**
         * It did not run because stage results that it needs no longer exist.
         *
         * @param upstream id of the upstream
         */
        void onInputsLost(String upstream);

        /**
         * There is no whole answer, and the request may have run.
         *
         * @param reason what happened
         */
        void onFailure(String reason);
    }
}
