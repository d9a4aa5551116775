package org.copperspindle.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * The leader's side of leases, configuration and claims. All methods but those of {@link PeerListener} run on the
 * decision ring.
 */
public final class ControlService implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ControlService.class);

    private final DecisionRing ring;
    private final TimerService timers;
    private final ReplicatedLog log;
    private final ControlState state;
    private final long leaseNanos;
    private final Map<String, Member> members = new HashMap<>();
    private final List<PendingApply> pending = new ArrayList<>();

    /**
     * Creates the service.
     *
     * @param ring   decision ring that owns it
     * @param timers time
     * @param log    the log
     * @param state  what the log drives
     * @param lease  length of members' leases
     */
    public ControlService(
            DecisionRing ring, TimerService timers, ReplicatedLog log, ControlState state, Duration lease) {
        this.ring = ring;
        this.timers = timers;
        this.log = log;
        this.state = state;
        this.leaseNanos = lease.toNanos();
    }

    /** Starts to watch leases. */
    public void start() {
        timers.schedule(leaseNanos / 4, this::sweep);
    }

    @Override
    public boolean onOpen(Peer peer) {
        LOGGER.debug("event=member-connected member={}", peer.greeting().processId());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        return ring.offer(() -> receive(peer, message));
    }

    @Override
    public boolean onClose(Peer peer) {
        // A lost connection is not a lost lease: the member may come back before it ends.
        LOGGER.debug("event=member-disconnected member={}", peer.greeting().processId());
        return true;
    }

    /**
     * Applies a configuration and answers once it is in force at every serving member.
     *
     * @param command  the change
     * @param callback told how it ended
     */
    public void apply(ApplyConfigCommand command, Consumer<ProposalResult> callback) {
        log.propose(state.encode(command), result -> {
            if (result instanceof ProposalResult.Committed committed
                    && committed.result() instanceof ControlResult.ConfigAccepted accepted) {
                pending.add(new PendingApply(accepted.version(), result, callback));
                pushAll();
                completeInForce();
                return;
            }
            callback.accept(result);
        });
    }

    private void receive(Peer peer, WireMessage message) {
        if (!log.leads()) {
            peer.send(new NotLeaderMessage(log.leaderWireAddress().orElse("")));
            return;
        }
        if (message instanceof LeaseRequestMessage lease) {
            receiveLease(peer, lease);
        } else if (message instanceof ClaimRequestMessage claim) {
            receiveClaim(peer, claim);
        } else if (message instanceof ClaimSettleMessage settle) {
            log.propose(state.encode(new SettleCommand(ClaimSettleMessage.CODEC.encode(settle))), result -> {});
        }
    }

    private void receiveLease(Peer peer, LeaseRequestMessage lease) {
        String id = peer.greeting().processId();
        if (lease.leaving()) {
            leave(id, true);
            return;
        }
        Member member = members.computeIfAbsent(id, Member::new);
        member.peer = peer;
        member.expiresAt = timers.nanoTime() + leaseNanos;
        member.configVersion = lease.configVersion();
        member.membershipRevision = lease.membershipRevision();
        peer.send(new LeaseGrantMessage(
                leaseNanos / 1_000_000, log.term(), state.config().version()));
        if (lease.announcement().length > 0) {
            announce(member, lease.announcement());
        }
        push(member);
        completeInForce();
    }

    private void announce(Member member, byte[] announcement) {
        UpstreamAnnouncement decoded;
        try {
            decoded = UpstreamAnnouncement.CODEC.decode(announcement);
        } catch (MalformedFrameException e) {
            LOGGER.warn("event=announcement-malformed member={}", member.id);
            return;
        }
        member.upstreamId = decoded.upstreamId();
        member.incarnation = decoded.incarnation();
        if (!state.upstreams().isNews(decoded)) {
            return;
        }
        log.propose(state.encode(new AnnounceCommand(announcement)), result -> pushAll());
    }

    private void receiveClaim(Peer peer, ClaimRequestMessage claim) {
        log.propose(state.encode(new ClaimCommand(ClaimRequestMessage.CODEC.encode(claim))), result -> {
            if (result instanceof ProposalResult.Committed committed
                    && committed.result() instanceof ControlResult.Claimed claimed) {
                peer.send(new ClaimReplyMessage(
                        claim.correlation(), claimed.result().name(), claimed.attemptId(), claimed.upstreamId()));
            } else if (result instanceof ProposalResult.NotTaken) {
                peer.send(new ClaimReplyMessage(claim.correlation(), ClaimResult.UNAVAILABLE.name(), "", ""));
            }
            // Unknown: no reply. The entry asks again with the same attempt, which is granted if the first one held.
        });
    }

    private void leave(String id, boolean left) {
        Member member = members.remove(id);
        if (member != null && member.upstreamId != null) {
            remove(member, left);
        }
        completeInForce();
    }

    private void remove(Member member, boolean left) {
        log.propose(
                state.encode(new RemoveUpstreamCommand(member.upstreamId, member.incarnation, left)),
                result -> pushAll());
    }

    private void sweep() {
        timers.schedule(leaseNanos / 4, this::sweep);
        if (!log.leads()) {
            members.clear();
            return;
        }
        long now = timers.nanoTime();
        List<Member> expired =
                members.values().stream().filter(m -> m.expiresAt <= now).toList();
        for (Member member : expired) {
            LOGGER.info("event=lease-expired member={}", member.id);
            leave(member.id, false);
        }
    }

    private void pushAll() {
        members.values().forEach(this::push);
    }

    private void push(Member member) {
        boolean config = member.configVersion < state.config().version()
                && member.pushedConfig < state.config().version();
        boolean membership = member.membershipRevision < state.upstreams().revision()
                && member.pushedRevision < state.upstreams().revision()
                && member.upstreamId == null;
        if (!config && !membership) {
            return;
        }
        List<byte[]> upstreams = new ArrayList<>();
        Set<String> gone = new HashSet<>();
        if (membership) {
            state.upstreams().all().values().forEach(u -> upstreams.add(UpstreamAnnouncement.CODEC.encode(u)));
        }
        List<byte[]> removed =
                gone.stream().map(s -> s.getBytes(StandardCharsets.UTF_8)).toList();
        boolean sent = member.peer.send(new ControlUpdateMessage(
                log.term(),
                config ? state.config().version() : 0,
                config ? state.config().text() : "",
                membership,
                state.upstreams().revision(),
                upstreams,
                removed));
        if (sent) {
            member.pushedConfig = state.config().version();
            member.pushedRevision = state.upstreams().revision();
        }
    }

    private void completeInForce() {
        List<PendingApply> done = pending.stream()
                .filter(p -> members.values().stream().allMatch(m -> m.configVersion >= p.version()))
                .toList();
        pending.removeAll(done);
        done.forEach(p -> p.callback().accept(p.result()));
    }

    /** A leased process as the leader sees it; gone with the leader, rebuilt from renewals. */
    private static final class Member {
        private final String id;
        private Peer peer;
        private long expiresAt;
        private long configVersion;
        private long membershipRevision;
        private long pushedConfig;
        private long pushedRevision;
        private String upstreamId;
        private long incarnation;

        private Member(String id) {
            this.id = id;
        }
    }

    private record PendingApply(long version, ProposalResult result, Consumer<ProposalResult> callback) {}
}
