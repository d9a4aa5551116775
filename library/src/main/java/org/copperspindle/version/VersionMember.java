package org.copperspindle.version;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.SuspensionWatch;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireTransport;

/**
 * This node's member of the control group. Its log runs on the decision ring; all methods may be called from any thread,
 * and callbacks come on the ring.
 */
public final class VersionMember implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(VersionMember.class);

    /** How often what is known of the leader is made known to the network thread. */
    private static final long STATUS_NANOS = Duration.ofMillis(100).toNanos();

    private final DecisionRing ring;
    private final TimerService timers;
    private final VersionState state;
    private final ReplicatedLog log;
    private final SuspensionWatch watch;
    private final Consumer<MemberStatus> listener;
    private final long distrustNanos;
    private long distrustUntil;
    private boolean distrusts;
    private MemberStatus published = MemberStatus.NONE;
    private volatile boolean closed;

    VersionMember(
            DecisionRing ring,
            TimerService timers,
            VersionState state,
            ReplicatedLog log,
            SuspensionWatch watch,
            Duration electionTimeout,
            Consumer<MemberStatus> listener) {
        this.ring = ring;
        this.timers = timers;
        this.state = state;
        this.log = log;
        this.watch = watch;
        this.listener = listener;
        this.distrustNanos = electionTimeout.toNanos();
    }

    /**
     * Opens the member and starts it.
     *
     * @param ring      ring that owns its log
     * @param timers    time on that ring
     * @param transport transport of the log's own connections
     * @param settings  settings of the log
     * @param bind      where the member listens; others reach it at the address in its settings
     * @param state     what the log drives
     * @param listener  told on the ring when the leader, the term or the part in the group changes
     * @return the member
     * @throws IOException if the disk fails or its records are damaged
     */
    public static VersionMember open(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            ConsensusSettings settings,
            InetSocketAddress bind,
            VersionState state,
            Consumer<MemberStatus> listener)
            throws IOException {
        ConsensusLog log = ConsensusLog.open(ring, timers, transport, state, settings);
        listen(transport, bind, log);
        VersionMember member = new VersionMember(
                ring, timers, state, log, new SuspensionWatch(), settings.electionTimeout(), listener);
        ring.execute(log::start);
        ring.execute(member::publish);
        return member;
    }

    /**
     * Records a version.
     *
     * @param edition  the version, checked before
     * @param callback told how it ended
     */
    public void put(VersionMessage edition, Consumer<VersionResult> callback) {
        propose(VersionMessage.CODEC.encode(edition), callback);
    }

    /**
     * Records an order on a failure domain.
     *
     * @param order    the order, its name checked before
     * @param callback told how it ended
     */
    public void evacuate(EvacuationCommand order, Consumer<VersionResult> callback) {
        propose(EvacuationCommand.CODEC.encode(order), callback);
    }

    /**
     * Reads the newest version. The question goes through the log: a leader that was frozen and does not know yet that
     * there is another one could else answer with a version that was overtaken.
     *
     * @param callback told the result
     */
    public void read(Consumer<VersionResult> callback) {
        propose(VersionState.READ, callback);
    }

    /**
     * Asks for all that was accepted, if this member leads.
     *
     * @param callback told what is newest; not called if this member does not lead or can't be sure of it
     */
    public void askNewest(Consumer<VersionSnapshotMessage> callback) {
        ring.offer(() -> {
            if (isTrusted() && log.leads()) {
                callback.accept(state.held());
            }
        });
    }

    /**
     * Says whether the member still takes part in its group.
     *
     * @return false after its disk has failed or it was closed
     */
    public boolean isRunning() {
        return log.isRunning();
    }

    @Override
    public void close() {
        closed = true;
        log.close();
    }

    /**
     * Listens for the other members. The log is closed if that fails, for example since the port is still taken: left open, it
     * would keep its folder locked, and no later attempt could open it.
     */
    private static void listen(WireTransport transport, InetSocketAddress bind, ConsensusLog log) {
        boolean listens = false;
        try {
            transport.listen(bind, log);
            listens = true;
        } finally {
            if (!listens) {
                log.close();
            }
        }
    }

    private void propose(byte[] command, Consumer<VersionResult> callback) {
        boolean taken = ring.offer(() -> {
            if (!isTrusted()) {
                callback.accept(new VersionResult.NotLeading());
                return;
            }
            log.propose(command, result -> callback.accept(read(result)));
        });
        if (!taken) {
            callback.accept(new VersionResult.NotLeading());
        }
    }

    private VersionResult read(ProposalResult result) {
        if (result instanceof ProposalResult.NotTaken) {
            return new VersionResult.NotLeading();
        }
        if (!(result instanceof ProposalResult.Committed committed)) {
            return new VersionResult.Unknown();
        }
        return committed.result() instanceof ControlResult.ConfigRefused refused
                ? new VersionResult.Refused(refused.reason())
                : new VersionResult.Recorded(state.held());
    }

    /** After a suspension the leader's lease, counted on a clock that stood still, proves nothing until it has ended. */
    private boolean isTrusted() {
        long now = timers.nanoTime();
        if (watch.stoodStill()) {
            LOGGER.warn("event=suspension-noticed action=leases-held-back");
            distrustUntil = now + distrustNanos;
            distrusts = true;
        }
        distrusts &= now - distrustUntil < 0;
        return !distrusts;
    }

    private void publish() {
        if (closed) {
            return;
        }
        boolean trusted = isTrusted();
        boolean leads = trusted && log.leads();
        Optional<String> leader = log.leaderName();
        MemberStatus status = new MemberStatus(leader.isPresent() ? log.term() : 0, leader.orElse(""), leads);
        if (!status.equals(published)) {
            LOGGER.info(
                    "event=leader-seen leader={} term={} leads={} members={}",
                    status.leader(),
                    status.term(),
                    status.leads(),
                    log.describeMembers());
            published = status;
            listener.accept(status);
        }
        timers.schedule(STATUS_NANOS, this::publish);
    }
}
