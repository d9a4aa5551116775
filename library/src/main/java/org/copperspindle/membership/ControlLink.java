package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.config.ConfigPatch;
import org.copperspindle.control.NotLeaderMessage;
import org.copperspindle.core.DecisionQueue;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * A member's link to the control leader: finds it, renews the lease, puts configuration texts together from patches,
 * and says when the lease has run out. Runs on the decision ring but for the methods of {@link PeerListener}.
 */
public final class ControlLink implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ControlLink.class);

    /** A connection that stands but is never greeted is given up after this; it reports no end of its own. */
    private static final long GREETING_NANOS = Duration.ofSeconds(3).toNanos();

    /** A leader that leaves a request unanswered for so long is given up; a lease allows for it several times. */
    private static final long SILENCE_NANOS = Duration.ofSeconds(1).toNanos();

    /** Shortest wait for the end of the lease, so that a timer that is rounded down does not spin. */
    private static final long WATCH_NANOS = Duration.ofMillis(1).toNanos();

    private final DecisionQueue queue;
    private final TimerService timers;
    private final ControlConnector connector;
    private final ControlCandidates candidates;
    private final long renewNanos;
    private final Supplier<LeaseRequestMessage> request;
    private final ControlLinkListener listener;
    private final LeaseClock lease = new LeaseClock();
    private Peer peer;
    private long attempt;
    private boolean serving;
    private boolean stopped;
    private TimerSubscription expiry = () -> {};
    private long textVersion;
    private byte[] text = new byte[0];

    /**
     * Creates a link.
     *
     * @param ring      decision ring that owns it
     * @param timers    time
     * @param transport network
     * @param controls  addresses of the control members
     * @param renew     interval of renewals
     * @param request   makes the current request
     * @param listener  hears the outcome
     */
    public ControlLink(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            List<InetSocketAddress> controls,
            Duration renew,
            Supplier<LeaseRequestMessage> request,
            ControlLinkListener listener) {
        this(
                ring,
                timers,
                connector(ring, transport),
                new ControlCandidates(controls, new SplittableRandom()),
                renew,
                request,
                listener);
    }

    ControlLink(
            DecisionQueue queue,
            TimerService timers,
            ControlConnector connector,
            ControlCandidates candidates,
            Duration renew,
            Supplier<LeaseRequestMessage> request,
            ControlLinkListener listener) {
        this.queue = queue;
        this.timers = timers;
        this.connector = connector;
        this.candidates = candidates;
        this.renewNanos = renew.toNanos();
        this.request = request;
        this.listener = listener;
    }

    private static ControlConnector connector(DecisionRing ring, WireTransport transport) {
        return (target, listener, failed) -> transport.connect(target, listener).whenComplete((channel, failure) -> {
            if (failure != null) {
                ring.offerUntilTaken(failed, transport.scheduler());
            }
        });
    }

    /** Connects and starts to renew. */
    public void start() {
        connect();
        timers.schedule(candidates.spread(renewNanos), this::tick);
    }

    /** Sends a renewal at once, for example because a new version is in force. */
    public void renewNow() {
        if (peer == null) {
            return;
        }
        LeaseRequestMessage current = request.get();
        long now = timers.nanoTime();
        long number = lease.request(now, current.configVersion());
        if (!peer.send(current.numbered(number, textVersion, lease.rateShare(now), lease.takenNumber()))) {
            // Closed before it was opened here: its end was heard of first.
            lost(peer);
            return;
        }
        Peer asked = peer;
        timers.schedule(SILENCE_NANOS, () -> checkSilence(asked));
    }

    /**
     * Sends a message to the leader.
     *
     * @param message the message
     * @return false if there is no connection to it
     */
    public boolean send(WireMessage message) {
        return peer != null && peer.send(message);
    }

    /**
     * Says whether the lease is held.
     *
     * @return true if the member may serve
     */
    public boolean isLeaseHeld() {
        return lease.held(timers.nanoTime());
    }

    /**
     * Returns the part of every account's rate that may be used now.
     *
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}, 0 without the lease
     */
    public long rateShare() {
        return lease.rateShare(timers.nanoTime());
    }

    /** Stops renewing; the caller has sent its leaving request before. */
    public void stop() {
        stopped = true;
        expiry.cancel();
        if (peer != null) {
            peer.close();
        }
    }

    @Override
    public boolean onOpen(Peer opened) {
        return queue.offer(() -> opened(opened));
    }

    @Override
    public boolean onMessage(Peer from, WireMessage message) {
        return queue.offer(() -> receive(from, message));
    }

    @Override
    public boolean onClose(Peer closed) {
        return queue.offer(() -> lost(closed));
    }

    private void opened(Peer opened) {
        if (peer != null || stopped) {
            // A slow attempt that was given up, and another took its place.
            opened.close();
            return;
        }
        peer = opened;
        lease.connectionChanged();
        renewNow();
    }

    private void lost(Peer closed) {
        if (peer == closed) {
            peer = null;
            connectLater();
        }
    }

    /** Leaves a leader that was cut off without a word: no end of the connection comes, only the answer is missing. */
    private void checkSilence(Peer asked) {
        if (peer != asked || stopped || lease.waiting(timers.nanoTime()) < SILENCE_NANOS) {
            return;
        }
        LOGGER.warn("event=control-silent member={}", asked.greeting().processId());
        lost(asked);
        asked.close();
    }

    private void connectLater() {
        long current = ++attempt;
        timers.schedule(candidates.nextWaitNanos(), () -> {
            if (attempt == current) {
                connect();
            }
        });
    }

    private void connect() {
        if (stopped || peer != null) {
            return;
        }
        long current = ++attempt;
        Runnable giveUp = () -> {
            if (attempt == current && peer == null) {
                connectLater();
            }
        };
        connector.connect(candidates.next(), this, giveUp);
        timers.schedule(GREETING_NANOS, giveUp);
    }

    private void receive(Peer from, WireMessage message) {
        if (from != peer) {
            return;
        }
        if (message instanceof LeaseGrantMessage grant) {
            granted(grant);
        } else if (message instanceof ControlUpdateMessage update) {
            update(update);
        } else if (message instanceof NotLeaderMessage notLeader) {
            candidates.leaderIs(notLeader.leaderAddress());
            from.close();
        } else {
            listener.onReply(message);
        }
    }

    private void granted(LeaseGrantMessage grant) {
        candidates.succeeded();
        listener.onTerm(grant.term());
        if (grant.newerIncarnation() > 0) {
            superseded(grant.newerIncarnation());
            return;
        }
        if (!lease.grant(grant, timers.nanoTime())) {
            return;
        }
        listener.onRateShare(rateShare() / (double) LeaseGrantMessage.WHOLE_RATE);
        if (!serving) {
            serving = true;
            watchExpiry();
            listener.onLease(true);
        }
    }

    /**
     * Handles a newer life of the same upstream. A life that has never held a lease is the newest one, started while
     * the clock that numbers lives was set back: it takes a larger number. One that has is an old process that woke up
     * again: if it took a larger number, the two would push each other out for ever.
     */
    private void superseded(long known) {
        if (lease.everHeld()) {
            LOGGER.warn("event=superseded newest={}", known);
            return;
        }
        LOGGER.info("event=incarnation-raised known={}", known);
        listener.onNewerIncarnation(known);
        renewNow();
    }

    private void watchExpiry() {
        expiry = timers.schedule(Math.max(WATCH_NANOS, lease.left(timers.nanoTime())), this::expire);
    }

    private void expire() {
        if (isLeaseHeld()) {
            watchExpiry();
            return;
        }
        serving = false;
        LOGGER.warn("event=lease-lost");
        listener.onLease(false);
    }

    private void update(ControlUpdateMessage update) {
        if (!lease.supports(update.term())) {
            return;
        }
        if (update.configPatch().length == 0) {
            listener.onUpdate(update);
            return;
        }
        Optional<byte[]> patched = patched(update.configPatch());
        if (patched.isEmpty()) {
            // What control took this member to hold is not what it holds: begin again with the whole text.
            LOGGER.warn("event=patch-misfit version={} held={}", update.configVersion(), textVersion);
            textVersion = 0;
            text = new byte[0];
            peer.close();
            return;
        }
        text = patched.get();
        textVersion = update.configVersion();
        listener.onUpdate(update.withText(ConfigPatch.string(text)));
    }

    private Optional<byte[]> patched(byte[] encoded) {
        try {
            ConfigPatch patch = ConfigPatch.CODEC.decode(encoded);
            boolean whole = patch.baseVersion() == 0;
            return whole || patch.baseVersion() == textVersion
                    ? patch.apply(whole ? new byte[0] : text)
                    : Optional.empty();
        } catch (MalformedFrameException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private void tick() {
        if (stopped) {
            return;
        }
        renewNow();
        timers.schedule(candidates.spread(renewNanos), this::tick);
    }
}
