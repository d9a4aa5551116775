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
 * A member's connection to the control leader: finds the leader, renews the lease, builds configuration texts from
 * patches, and reports when the lease has expired. Runs on the decision ring, except for the methods of
 * {@link PeerListener}.
 */
public final class ControlLink implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ControlLink.class);

    /** Timeout for the greeting, since an established connection that is never greeted reports no failure. */
    private static final long GREETING_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();

    /** Timeout for the response of a leader; a lease allows for several of them. */
    private static final long RESPONSE_TIMEOUT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Shortest delay of the lease expiry timer, so that a delay that is rounded down doesn't cause a busy loop. */
    private static final long MIN_EXPIRY_DELAY_NANOS = Duration.ofMillis(1).toNanos();

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
     * @param timers    timer service
     * @param transport network
     * @param controls  addresses of the control members
     * @param renew     interval between renewals
     * @param request   creates the current request
     * @param listener  notified of updates and of changes of the lease
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
                ring.offerWithRetry(failed, transport.scheduler());
            }
        });
    }

    /** Connects and starts to renew. */
    public void start() {
        connect();
        timers.schedule(candidates.withJitter(renewNanos), this::tick);
    }

    /** Sends a renewal immediately, for example because a new version is in force. */
    public void renewNow() {
        if (peer == null) {
            return;
        }
        LeaseRequestMessage current = request.get();
        long now = timers.nanoTime();
        long number = lease.request(now, current.configVersion());
        if (!peer.send(current.numbered(number, textVersion, lease.rateShare(now), lease.lastGrantNumber()))) {
            // The connection was closed before its opening was processed here; the close event came first and was
            // ignored.
            connectionLost(peer);
            return;
        }
        Peer requestPeer = peer;
        timers.schedule(RESPONSE_TIMEOUT_NANOS, () -> checkResponse(requestPeer));
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
     * Returns whether the lease is held.
     *
     * @return true if the member may serve
     */
    public boolean isLeaseHeld() {
        return lease.isHeld(timers.nanoTime());
    }

    /**
     * Returns the share of every account's rate that may be used now.
     *
     * @return parts of {@link LeaseGrantMessage#WHOLE_RATE}, 0 without the lease
     */
    public long rateShare() {
        return lease.rateShare(timers.nanoTime());
    }

    /** Stops renewing; the caller has already sent its leaving request. */
    public void stop() {
        stopped = true;
        expiry.cancel();
        if (peer != null) {
            peer.close();
        }
    }

    @Override
    public boolean onOpen(Peer opened) {
        return queue.offer(() -> handleOpen(opened));
    }

    @Override
    public boolean onMessage(Peer from, WireMessage message) {
        return queue.offer(() -> receive(from, message));
    }

    @Override
    public boolean onClose(Peer closed) {
        return queue.offer(() -> connectionLost(closed));
    }

    private void handleOpen(Peer opened) {
        if (peer != null || stopped) {
            // A slow attempt that timed out and was replaced by another one.
            opened.close();
            return;
        }
        peer = opened;
        lease.connectionChanged();
        renewNow();
    }

    private void connectionLost(Peer closed) {
        if (peer == closed) {
            peer = null;
            connectLater();
        }
    }

    /**
     * Drops a leader that became unreachable without closing the connection: no close event arrives, only the response
     * is missing.
     */
    private void checkResponse(Peer requestPeer) {
        if (peer != requestPeer || stopped || lease.oldestWaitNanos(timers.nanoTime()) < RESPONSE_TIMEOUT_NANOS) {
            return;
        }
        LOGGER.warn("event=control-silent member={}", requestPeer.greeting().processId());
        connectionLost(requestPeer);
        requestPeer.close();
    }

    private void connectLater() {
        long current = ++attempt;
        timers.schedule(candidates.nextBackoffNanos(), () -> {
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
        Runnable retry = () -> {
            if (attempt == current && peer == null) {
                connectLater();
            }
        };
        connector.connect(candidates.next(), this, retry);
        timers.schedule(GREETING_TIMEOUT_NANOS, retry);
    }

    private void receive(Peer from, WireMessage message) {
        if (from != peer) {
            return;
        }
        if (message instanceof LeaseGrantMessage grant) {
            handleGrant(grant);
        } else if (message instanceof ControlUpdateMessage update) {
            update(update);
        } else if (message instanceof NotLeaderMessage notLeader) {
            candidates.setLeader(notLeader.leaderAddress());
            from.close();
        } else {
            listener.onReply(message);
        }
    }

    private void handleGrant(LeaseGrantMessage grant) {
        candidates.succeeded();
        listener.onTerm(grant.term());
        if (grant.newerIncarnation() > 0) {
            handleNewerIncarnation(grant.newerIncarnation());
            return;
        }
        if (!lease.grant(grant, timers.nanoTime())) {
            return;
        }
        listener.onRateShare(rateShare() / (double) LeaseGrantMessage.WHOLE_RATE);
        if (!serving) {
            serving = true;
            scheduleExpiry();
            listener.onLease(true);
        }
    }

    /**
     * Handles a newer incarnation of the same upstream. An incarnation that has never held a lease is the newest
     * process, started while the clock that numbers incarnations was set back: it takes a larger number. One that has
     * held a lease is an old process that resumed after a pause: if it took a larger number, the two processes would
     * supersede each other forever.
     */
    private void handleNewerIncarnation(long known) {
        if (lease.everHeld()) {
            LOGGER.warn("event=superseded newest={}", known);
            return;
        }
        LOGGER.info("event=incarnation-raised known={}", known);
        listener.onNewerIncarnation(known);
        renewNow();
    }

    private void scheduleExpiry() {
        expiry = timers.schedule(
                Math.max(MIN_EXPIRY_DELAY_NANOS, lease.remainingNanos(timers.nanoTime())), this::expire);
    }

    private void expire() {
        if (isLeaseHeld()) {
            scheduleExpiry();
            return;
        }
        serving = false;
        LOGGER.warn("event=lease-lost");
        listener.onLease(false);
    }

    private void update(ControlUpdateMessage update) {
        if (!lease.acceptTerm(update.term())) {
            return;
        }
        if (update.configPatch().length == 0) {
            listener.onUpdate(update);
            return;
        }
        Optional<byte[]> patchedText = patchedText(update.configPatch());
        if (patchedText.isEmpty()) {
            // The patch doesn't apply to the text held here: reconnect and request the whole text.
            LOGGER.warn("event=patch-misfit version={} held={}", update.configVersion(), textVersion);
            textVersion = 0;
            text = new byte[0];
            peer.close();
            return;
        }
        text = patchedText.get();
        textVersion = update.configVersion();
        listener.onUpdate(update.withText(ConfigPatch.decodeUtf8(text)));
    }

    private Optional<byte[]> patchedText(byte[] encoded) {
        try {
            ConfigPatch patch = ConfigPatch.CODEC.decode(encoded);
            boolean isFullText = patch.baseVersion() == 0;
            return isFullText || patch.baseVersion() == textVersion
                    ? patch.apply(isFullText ? new byte[0] : text)
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
        timers.schedule(candidates.withJitter(renewNanos), this::tick);
    }
}
