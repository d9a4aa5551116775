package org.copperspindle.agent;

import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.verdict.MayHaveRunVerdict;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.verdict.RanVerdict;
import org.copperspindle.verdict.Verdict;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * The agent of one upstream. Runs each attempt at most once, keeps its outcome, refuses new work while draining.
 */
public final class AgentService implements PeerListener, ControlLinkListener {

    private static final Logger LOGGER = LogManager.getLogger(AgentService.class);
    private static final int MAX_ATTEMPTS_KEPT = 4096;

    private final DecisionRing ring;
    private final TimerService timers;
    private final AgentSettings settings;
    private final InetSocketAddress address;
    private long incarnation;
    private final UpstreamClient client;
    private final ControlLink control;
    private final AttemptTable attempts = new AttemptTable(MAX_ATTEMPTS_KEPT);
    private long sequence = 1;
    private long configVersion;
    private boolean draining;

    /**
     * Creates an agent.
     *
     * @param ring        decision ring that owns it
     * @param timers      time
     * @param transport   network
     * @param settings    its settings
     * @param controls    addresses of the control members
     * @param address     where entries reach it
     * @param incarnation this life of the process
     */
    public AgentService(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            AgentSettings settings,
            List<InetSocketAddress> controls,
            InetSocketAddress address,
            long incarnation) {
        this.ring = ring;
        this.timers = timers;
        this.settings = settings;
        this.address = address;
        this.incarnation = incarnation;
        this.client = new UpstreamClient(settings.upstream());
        this.control = new ControlLink(ring, timers, transport, controls, settings.renew(), this::leaseRequest, this);
    }

    /** Announces the upstream. */
    public void start() {
        control.start();
    }

    /**
     * Refuses new work from now on, announces that the upstream leaves, and reports when work in progress has ended.
     *
     * @param done run once nothing is in progress
     */
    public void drain(Runnable done) {
        if (!draining) {
            draining = true;
            sequence++;
            control.renewNow();
            LOGGER.info("event=draining upstream={} running={}", settings.upstreamId(), attempts.running());
        }
        awaitIdle(done);
    }

    /** Gives the lease back. */
    public void stop() {
        control.send(new LeaseRequestMessage(configVersion, 0, new byte[0], true));
        control.stop();
    }

    /** Closes the connections to the upstream. */
    public void close() {
        client.close();
    }

    @Override
    public boolean onOpen(Peer peer) {
        LOGGER.debug("event=entry-connected entry={}", peer.greeting().processId());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        return ring.offer(() -> receive(peer, message));
    }

    @Override
    public boolean onClose(Peer peer) {
        // Attempts go on: their outcome is kept for whoever asks.
        LOGGER.debug("event=entry-disconnected entry={}", peer.greeting().processId());
        return true;
    }

    @Override
    public void onUpdate(ControlUpdateMessage update) {
        if (update.configVersion() > configVersion) {
            configVersion = update.configVersion();
            control.renewNow();
        }
    }

    @Override
    public void onNewerIncarnation(long known) {
        incarnation = known + 1;
    }

    @Override
    public void onLease(boolean held) {
        LOGGER.info("event=lease upstream={} held={}", settings.upstreamId(), held);
    }

    @Override
    public void onReply(WireMessage message) {
        LOGGER.debug("event=unexpected-reply type={}", message.getClass().getSimpleName());
    }

    private LeaseRequestMessage leaseRequest() {
        UpstreamAnnouncement announcement = new UpstreamAnnouncement(
                settings.upstreamId(),
                settings.pool(),
                settings.failureDomain(),
                address,
                incarnation,
                sequence,
                settings.models(),
                draining);
        return new LeaseRequestMessage(configVersion, 0, UpstreamAnnouncement.CODEC.encode(announcement), false);
    }

    private void receive(Peer peer, WireMessage message) {
        if (message instanceof AttemptOrderMessage order) {
            receiveOrder(peer, order);
        } else if (message instanceof AttemptCancelMessage cancel) {
            attempts.find(cancel.attemptId()).ifPresent(AttemptTable.Attempt::abort);
        } else if (message instanceof OutcomeAckMessage ack) {
            attempts.acknowledge(ack.attemptId());
        } else if (message instanceof OutcomeQueryMessage query) {
            receiveQuery(peer, query);
        }
    }

    private void receiveOrder(Peer peer, AttemptOrderMessage order) {
        Optional<AttemptTable.Attempt> known = attempts.find(order.attemptId());
        if (known.isPresent()) {
            // A doubled order: the outcome is sent again if there is one, and nothing runs.
            known.get().outcome().ifPresent(peer::send);
            return;
        }
        Optional<String> refusal = refusal(order);
        if (refusal.isPresent()) {
            LOGGER.info(
                    "event=attempt-refused request={} attempt={} reason={}",
                    order.requestId(),
                    order.attemptId(),
                    refusal.get());
            peer.send(attempts.refuse(order.attemptId(), refusal.get(), attempts.running()));
            return;
        }
        run(peer, order);
    }

    private Optional<String> refusal(AttemptOrderMessage order) {
        if (draining) {
            return Optional.of("draining");
        }
        if (!order.upstreamId().equals(settings.upstreamId())) {
            return Optional.of("other-upstream");
        }
        if (order.agentIncarnation() != incarnation) {
            // The order was meant for an earlier life, whose table of attempts is gone.
            return Optional.of("other-incarnation");
        }
        if (order.timeLeftMicros() <= 0) {
            return Optional.of("deadline");
        }
        return Optional.empty();
    }

    private void receiveQuery(Peer peer, OutcomeQueryMessage query) {
        Optional<AttemptTable.Attempt> known = attempts.find(query.attemptId());
        if (known.isPresent()) {
            known.get().outcome().ifPresent(peer::send);
            return;
        }
        if (query.agentIncarnation() != 0 && query.agentIncarnation() != incarnation) {
            peer.send(outcome(query.attemptId(), new MayHaveRunVerdict("agent-restarted"), new Response(), 0));
            return;
        }
        peer.send(attempts.refuse(query.attemptId(), "never-arrived", attempts.running()));
    }

    private void run(Peer peer, AttemptOrderMessage order) {
        AttemptTable.Attempt attempt = attempts.start(order);
        long startedAt = timers.nanoTime();
        LOGGER.debug("event=attempt-started request={} attempt={}", order.requestId(), order.attemptId());
        TimerSubscription deadline = timers.schedule(order.timeLeftMicros() * 1000, attempt::abort);
        UpstreamCall call = new UpstreamCall(order.path(), order.body(), order.requestId(), order.attemptId());
        Response response = new Response();
        Runnable abort = client.call(call, new UpstreamResponseListener() {
            @Override
            public void onHead(int status, String contentType) {
                response.status = status;
                response.contentType = contentType;
            }

            @Override
            public void onData(byte[] data) {
                response.body.writeBytes(data);
                if (order.streaming()) {
                    peer.send(new AttemptChunkMessage(order.attemptId(), response.chunks++, data));
                }
            }

            @Override
            public void onEnd() {
                response.complete = true;
                end(RanVerdict.SUCCESS);
            }

            @Override
            public void onFailure(boolean sent, String reason) {
                end(sent ? new MayHaveRunVerdict(reason) : new NotRunVerdict(reason));
            }

            private void end(Verdict verdict) {
                ring.execute(() -> {
                    deadline.cancel();
                    long busy = (timers.nanoTime() - startedAt) / 1000;
                    AttemptOutcomeMessage outcome = outcome(order.attemptId(), verdict, response, busy);
                    attempts.finish(attempt, outcome);
                    LOGGER.debug(
                            "event=attempt-ended request={} attempt={} verdict={}",
                            order.requestId(),
                            order.attemptId(),
                            verdict.label());
                    peer.send(outcome);
                });
            }
        });
        attempt.abortWith(abort);
    }

    private AttemptOutcomeMessage outcome(String attemptId, Verdict verdict, Response response, long busyMicros) {
        return new AttemptOutcomeMessage(
                attemptId,
                verdict,
                response.status,
                response.contentType,
                response.body.toByteArray(),
                response.complete,
                response.chunks,
                busyMicros,
                Math.max(0, attempts.running() - 1),
                -1);
    }

    private void awaitIdle(Runnable done) {
        if (attempts.running() == 0) {
            done.run();
            return;
        }
        timers.schedule(20_000_000, () -> awaitIdle(done));
    }

    /** A response being gathered; written by one network thread, read after its end. */
    private static final class Response {
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private int status;
        private String contentType = "";
        private boolean complete;
        private long chunks;
    }
}
