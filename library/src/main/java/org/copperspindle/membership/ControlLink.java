package org.copperspindle.membership;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.control.NotLeaderMessage;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * A member's link to the control leader: finds it, renews the lease, and says when the lease has run out. The lease is
 * counted from when the request was sent, so that the member's count ends before the leader's.
 */
public final class ControlLink implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ControlLink.class);
    private static final long RECONNECT_NANOS = Duration.ofMillis(200).toNanos();

    /** Allowed difference of two monotonic clocks' rates: the member gives up this share of its lease early. */
    private static final double CLOCK_DRIFT = 0.01;

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final List<InetSocketAddress> controls;
    private final long renewNanos;
    private final Supplier<LeaseRequestMessage> request;
    private final ControlLinkListener listener;
    private int next;
    private Peer peer;
    private Optional<InetSocketAddress> hint = Optional.empty();
    private long sentAt;
    private boolean awaitingGrant;
    private boolean held;
    private boolean stopped;
    private TimerSubscription expiry = () -> {};

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
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.controls = List.copyOf(controls);
        this.renewNanos = renew.toNanos();
        this.request = request;
        this.listener = listener;
    }

    /** Connects and starts to renew. */
    public void start() {
        connect();
        timers.schedule(renewNanos, this::tick);
    }

    /** Sends a renewal at once, for example because a new version is in force. */
    public void renewNow() {
        if (peer == null) {
            return;
        }
        // Only one request counts at a time: a grant must be counted from the request that it answers.
        if (!awaitingGrant) {
            sentAt = timers.nanoTime();
            awaitingGrant = true;
        }
        peer.send(request.get());
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
    public boolean held() {
        return held;
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
        return ring.offer(() -> {
            peer = opened;
            awaitingGrant = false;
            renewNow();
        });
    }

    @Override
    public boolean onMessage(Peer from, WireMessage message) {
        return ring.offer(() -> receive(from, message));
    }

    @Override
    public boolean onClose(Peer closed) {
        return ring.offer(() -> {
            if (peer == closed) {
                peer = null;
                timers.schedule(RECONNECT_NANOS, this::connect);
            }
        });
    }

    private void receive(Peer from, WireMessage message) {
        if (from != peer) {
            return;
        }
        if (message instanceof LeaseGrantMessage grant) {
            granted(grant);
        } else if (message instanceof ControlUpdateMessage update) {
            listener.onUpdate(update);
        } else if (message instanceof NotLeaderMessage notLeader) {
            follow(notLeader);
        } else {
            listener.onReply(message);
        }
    }

    private void granted(LeaseGrantMessage grant) {
        if (!awaitingGrant) {
            return;
        }
        awaitingGrant = false;
        expiry.cancel();
        long length = (long) (Duration.ofMillis(grant.leaseMillis()).toNanos() * (1 - CLOCK_DRIFT));
        long left = sentAt + length - timers.nanoTime();
        if (left <= 0) {
            return;
        }
        expiry = timers.schedule(left, this::expire);
        if (!held) {
            held = true;
            listener.onLease(true);
        }
    }

    private void expire() {
        held = false;
        LOGGER.warn("event=lease-lost");
        listener.onLease(false);
    }

    private void follow(NotLeaderMessage notLeader) {
        String address = notLeader.leaderAddress();
        int colon = address.lastIndexOf(':');
        hint = colon < 0
                ? Optional.empty()
                : Optional.of(new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        peer.close();
    }

    private void tick() {
        if (stopped) {
            return;
        }
        renewNow();
        timers.schedule(renewNanos, this::tick);
    }

    private void connect() {
        if (stopped || peer != null) {
            return;
        }
        InetSocketAddress target = hint.orElseGet(() -> controls.get(next++ % controls.size()));
        hint = Optional.empty();
        transport.connect(target, this).whenComplete((channel, failure) -> {
            if (failure != null) {
                Runnable again = () -> timers.schedule(RECONNECT_NANOS, this::connect);
                ring.offerUntilTaken(again, transport.scheduler());
            }
        });
    }
}
