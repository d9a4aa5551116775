package org.copperspindle.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.core.DecisionQueue;
import org.copperspindle.fleet.FleetService;
import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;

/**
 * Serves leases, configuration changes and claims at the leader. All methods except those of {@link PeerListener} run
 * on the decision ring.
 *
 * <p>A version is in force everywhere once every member whose lease is running has reported it. That suffices because a
 * lease is renewed only for a member that reports the newest version: a member that is behind, for whatever reason,
 * reports it within a lease or stops serving within a lease.
 */
public final class ControlService implements PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ControlService.class);
    private static final int SWEEPS_PER_LEASE = 20;
    private static final int MAX_LISTED = 5;

    /**
     * Largest relative difference between the rates of two monotonic clocks; members allow for the same on their side.
     */
    private static final double CLOCK_DRIFT = 0.01;

    private final DecisionQueue queue;
    private final TimerService timers;
    private final ReplicatedLog log;
    private final ControlState state;
    private final long leaseNanos;
    private final ClaimHandler claims;
    private final MemberTable members = new MemberTable();
    private final RateShareTable rateShares = new RateShareTable();
    private final PendingChanges pending;
    private final UpdatePusher pusher;
    private final FleetService fleet;
    private final InForceRecorder inForce = new InForceRecorder();
    private final VoterRecorder voters = new VoterRecorder();
    private final Set<String> removing = new HashSet<>();
    private long leadingTerm;
    private long leadingSince;

    /**
     * Creates the service.
     *
     * @param queue  decision ring that owns it
     * @param timers timer service
     * @param log    the replicated log
     * @param state  state to which the log applies commands
     * @param lease  length of members' leases
     */
    public ControlService(
            DecisionQueue queue, TimerService timers, ReplicatedLog log, ControlState state, Duration lease) {
        this.queue = queue;
        this.timers = timers;
        this.log = log;
        this.state = state;
        this.leaseNanos = lease.toNanos();
        this.claims = new ClaimHandler(timers, log, state);
        this.pending = new PendingChanges(timers);
        this.fleet = new FleetService(timers, log, state, members::agentOf);
        this.pusher = new UpdatePusher(timers, state, members.all(), () -> leads() ? leadingTerm : 0);
    }

    /** Starts the periodic check of leases. */
    public void start() {
        timers.schedule(leaseNanos / SWEEPS_PER_LEASE, this::sweep);
        fleet.start();
    }

    @Override
    public boolean onOpen(Peer peer) {
        LOGGER.debug("event=member-connected member={}", peer.greeting().processId());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        return queue.offer(() -> receive(peer, message));
    }

    @Override
    public boolean onClose(Peer peer) {
        // A lost connection doesn't end the lease: the member may reconnect before it expires.
        LOGGER.debug("event=member-disconnected member={}", peer.greeting().processId());
        return true;
    }

    /**
     * Applies a configuration and reports the outcome once it is in force at every serving member.
     *
     * @param command   the change, already validated
     * @param waitNanos longest wait for it to be in force, in nanoseconds
     * @param callback  called once with the outcome
     */
    public void apply(ApplyConfigCommand command, long waitNanos, Consumer<ApplyOutcome> callback) {
        if (!leads()) {
            callback.accept(new ApplyOutcome.NotTaken(log.leaderAddress().orElse("")));
            return;
        }
        Optional<ControlResult> before = state.config().findDecision(command);
        if (before.isPresent()) {
            completeOrWait(before.get(), waitNanos, callback);
            return;
        }
        log.propose(state.encode(command), result -> {
            if (result instanceof ProposalResult.Committed committed) {
                LOGGER.info(
                        "event=change-decided change={} operator={} base={} result={}",
                        command.changeId(),
                        command.operator(),
                        command.baseVersion(),
                        committed.result());
                completeOrWait(committed.result(), waitNanos, callback);
            } else if (result instanceof ProposalResult.NotTaken notTaken) {
                callback.accept(new ApplyOutcome.NotTaken(notTaken.leaderAddress()));
            } else {
                callback.accept(new ApplyOutcome.Unknown(0, "the leader changed while the change was being committed"));
            }
        });
    }

    /**
     * Returns what this member knows, for operators.
     *
     * @return the status
     */
    public ControlStatus status() {
        return new ControlStatusReport(log, state, members, timers.nanoTime())
                .create(leads(), pending.versions(), this::describeWait);
    }

    private void completeOrWait(ControlResult result, long waitNanos, Consumer<ApplyOutcome> callback) {
        if (result instanceof ControlResult.ConfigAccepted accepted) {
            pending.add(accepted.version(), waitNanos, this::describeWait, callback);
            pusher.scheduleFlush();
            completeInForce();
        } else if (result instanceof ControlResult.ConfigRefused refused) {
            callback.accept(new ApplyOutcome.Refused(refused.currentVersion(), refused.operator(), refused.reason()));
        } else if (result instanceof ControlResult.ConfigExpired expired) {
            callback.accept(new ApplyOutcome.Unknown(
                    0,
                    "not made now; whether it was made before is no longer known, changes before version "
                            + expired.oldestVersion() + " are forgotten"));
        } else {
            callback.accept(new ApplyOutcome.Unknown(0, "unexpected result"));
        }
    }

    /**
     * Returns whether this member leads, and resets the leader's state when the term changes: what was known of the
     * members in another term says nothing about leases that another leader has granted since.
     */
    private boolean leads() {
        long term = log.leads() ? log.term() : 0;
        if (term != leadingTerm) {
            leadingTerm = term;
            leadingSince = timers.nanoTime();
            members.clear();
            rateShares.clear();
            removing.clear();
            pending.abandon();
            inForce.reset();
            LOGGER.info("event=leading term={} version={}", term, state.config().version());
        }
        return term != 0;
    }

    private void receive(Peer peer, WireMessage message) {
        if (!leads()) {
            peer.send(new NotLeaderMessage(log.leaderWireAddress().orElse("")));
            return;
        }
        if (fleet.onMessage(peer, message)) {
            return;
        }
        if (message instanceof LeaseRequestMessage lease) {
            receiveLease(peer, lease);
        } else {
            claims.receive(peer, message);
        }
    }

    private void receiveLease(Peer peer, LeaseRequestMessage lease) {
        if (lease.leaving()) {
            members.leave(peer).ifPresent(member -> {
                rateShares.leave(member.key());
                memberGone(member, true);
            });
            return;
        }
        Member member = members.findOrAdd(peer, lease);
        long now = timers.nanoTime();
        boolean progress = member.recordReport(now + leaseNanos, lease.configVersion());
        long newer = newerIncarnation(member, lease.announcement());
        // If renewals extended the lease of a member that keeps an old version, it would serve that version forever,
        // and no change would ever be in force everywhere. Without them it stops within a lease.
        boolean current = lease.configVersion() >= state.config().version();
        boolean granted = current && newer == 0;
        if (granted) {
            member.extendLease(now + leaseNanos);
            announce(member, lease.announcement());
        }
        peer.send(new LeaseGrantMessage(
                granted ? leaseNanos / 1_000_000 : 0,
                leadingTerm,
                state.config().version(),
                lease.number(),
                newer,
                granted && !member.isAgent() ? rateShare(member, lease, now) : LeaseGrantMessage.KEEP_SHARE));
        pusher.scheduleFlushFor(member);
        if (progress) {
            completeInForce();
        }
    }

    private long rateShare(Member member, LeaseRequestMessage lease, long now) {
        return rateShares.grant(member.key(), lease, now + leaseNanos, now, earlierLeasesExpired());
    }

    /** Returns the newest incarnation known of the member's upstream if that is newer than its own, else 0. */
    private long newerIncarnation(Member member, byte[] announcement) {
        if (!member.updateAnnouncement(announcement)) {
            return 0;
        }
        long newest = state.upstreams().newestIncarnation(member.announcement().upstreamId());
        return newest > member.announcement().incarnation() ? newest : 0;
    }

    private void announce(Member member, byte[] announcement) {
        boolean upstream = announcement.length > 0 && member.announcement() != null;
        if (!upstream || member.announcing() || !state.upstreams().isNewer(member.announcement())) {
            return;
        }
        // Every renewal repeats the announcement; only one of them goes through the log.
        member.announcing(true);
        log.propose(state.encode(new AnnounceCommand(announcement)), result -> {
            member.announcing(false);
            pusher.scheduleFlush();
        });
    }

    private void memberGone(Member member, boolean deliberately) {
        LOGGER.info("event=member-gone member={} left={}", member.id(), deliberately);
        if (member.announcement() != null) {
            UpstreamAnnouncement last = member.announcement();
            remove(new RemoveUpstreamCommand(last.upstreamId(), last.incarnation(), deliberately));
        }
        completeInForce();
    }

    private void remove(RemoveUpstreamCommand command) {
        if (removing.add(command.upstreamId())) {
            log.propose(state.encode(command), result -> {
                removing.remove(command.upstreamId());
                pusher.scheduleFlush();
            });
        }
    }

    private void sweep() {
        timers.schedule(leaseNanos / SWEEPS_PER_LEASE, this::sweep);
        if (!leads()) {
            return;
        }
        members.removeGone(timers.nanoTime()).forEach(member -> memberGone(member, false));
        recordVoters();
        if (earlierLeasesExpired()) {
            removeUnleased();
        }
        completeInForce();
    }

    private void recordVoters() {
        String voting = log.describeMembers();
        if (voting.isEmpty()) {
            return;
        }
        voters.observe(
                        leadingTerm,
                        log.leaderAddress().orElse(""),
                        voting,
                        state.config().version())
                .ifPresent(entry -> log.propose(state.encode(entry), result -> {}));
    }

    /** Removes upstreams whose agent has never contacted this leader, or whose announcement was late. */
    private void removeUnleased() {
        Set<String> leased = members.leasedUpstreams(timers.nanoTime());
        List<UpstreamAnnouncement> unleased = state.upstreams().all().values().stream()
                .filter(u -> !leased.contains(u.upstreamId()))
                .toList();
        unleased.forEach(u -> remove(new RemoveUpstreamCommand(u.upstreamId(), u.incarnation(), false)));
    }

    /**
     * Returns whether all leases that earlier leaders granted have expired. A new leader knows none of them: without
     * this wait, an entry that was partitioned together with the old leader would still serve the old version while the
     * operator is told that the new one is in force everywhere. The wait suffices because a leader grants leases only
     * while no other can be elected, so that no earlier lease is younger than this term.
     */
    private boolean earlierLeasesExpired() {
        return timers.nanoTime() - leadingSince >= (long) (leaseNanos * (1 + CLOCK_DRIFT));
    }

    private void completeInForce() {
        long now = timers.nanoTime();
        pending.complete(version -> inForce(version, now));
        long newest = state.config().version();
        inForce.observe(newest, () -> inForce(newest, now), members.all(), now)
                .ifPresent(entry -> log.propose(state.encode(entry), result -> {}));
    }

    private boolean inForce(long version, long now) {
        // No member can serve below the first version: an entry without a configuration refuses every request.
        return version <= 1
                || earlierLeasesExpired() && members.servingBelow(version, now).isEmpty();
    }

    private String describeWait(long version) {
        long now = timers.nanoTime();
        List<Member> below = members.servingBelow(version, now);
        if (below.isEmpty()) {
            return "committed; leases of the earlier leader have not run out yet";
        }
        String listed = below.stream()
                .limit(MAX_LISTED)
                .map(m -> m.id() + " (version " + m.configVersion() + ", lease ends in "
                        + Duration.ofNanos(m.leaseLeft(now)).toMillis() + " ms)")
                .collect(Collectors.joining(", "));
        return "committed; not in force at " + below.size() + " members: " + listed;
    }
}
