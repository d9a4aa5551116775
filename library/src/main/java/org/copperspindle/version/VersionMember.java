package org.copperspindle.version;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireTransport;

/**
 * This node's member of the control group. Its log runs on the decision ring. All methods may be called from any
 * thread; callbacks run on the ring.
 */
public final class VersionMember implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(VersionMember.class);

    /** Interval at which the status of the leader is published to the network thread. */
    private static final long STATUS_NANOS = Duration.ofMillis(100).toNanos();

    private final DecisionRing ring;
    private final TimerService timers;
    private final VersionState state;
    private final ReplicatedLog log;
    private final SuspensionDetector watch;
    private final Consumer<MemberStatus> listener;
    private final long distrustPeriodNanos;
    private long distrustUntil;
    private boolean isDistrusted;
    private MemberStatus published = MemberStatus.NONE;

    /** Callbacks of the versions that are being recorded, by version. */
    private final TreeMap<Long, List<Consumer<VersionResult>>> openPuts = new TreeMap<>();

    private volatile boolean closed;

    VersionMember(
            DecisionRing ring,
            TimerService timers,
            VersionState state,
            ReplicatedLog log,
            SuspensionDetector watch,
            Duration electionTimeout,
            Consumer<MemberStatus> listener) {
        this.ring = ring;
        this.timers = timers;
        this.state = state;
        this.log = log;
        this.watch = watch;
        this.listener = listener;
        this.distrustPeriodNanos = electionTimeout.toNanos();
    }

    /**
     * Opens and starts the member.
     *
     * @param ring      ring that owns the log
     * @param timers    timers of that ring
     * @param transport transport of the log's own connections
     * @param settings  settings of the log
     * @param bind      address at which the member listens; others reach it at the address in its settings
     * @param state     state machine driven by the log
     * @param listener  called on the ring when the leader, the term or this member's role changes
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
                ring, timers, state, log, new SuspensionDetector(), settings.electionTimeout(), listener);
        ring.execute(log::start);
        ring.execute(member::publish);
        return member;
    }

    /**
     * Records a version. One that is recorded already, or is being recorded, or is overtaken by such a one is not recorded
     * again, so that its sender waits for no further save of a disk.
     *
     * @param version  the version, already validated
     * @param callback receives the result
     */
    public void put(VersionMessage version, Consumer<VersionResult> callback) {
        offer(callback, () -> {
            Optional<List<Consumer<VersionResult>>> waiting = Optional.ofNullable(
                            openPuts.ceilingEntry(version.version()))
                    .map(Map.Entry::getValue);
            if (state.held().version() >= version.version()) {
                callback.accept(new VersionResult.Recorded(state.held()));
            } else if (waiting.isPresent()) {
                waiting.get().add(callback);
            } else {
                openPuts.put(version.version(), new ArrayList<>(List.of(callback)));
                log.propose(VersionMessage.CODEC.encode(version), result -> endPut(version.version(), read(result)));
            }
        });
    }

    /**
     * Records an evacuation order for a failure domain.
     *
     * @param order    the order, its name already validated
     * @param callback receives the result
     */
    public void evacuate(EvacuationCommand order, Consumer<VersionResult> callback) {
        propose(EvacuationCommand.CODEC.encode(order), callback);
    }

    /**
     * Records a change of the software versions in use.
     *
     * @param change   the change
     * @param callback receives the result
     */
    public void changeSoftware(SoftwareCommand change, Consumer<VersionResult> callback) {
        propose(SoftwareCommand.CODEC.encode(change), callback);
    }

    /**
     * Reads the newest version. A quorum confirms first that this member still leads: a leader that was suspended and does
     * not know yet that it has been replaced could otherwise return an outdated version.
     *
     * @param callback receives the result
     */
    public void read(Consumer<VersionResult> callback) {
        offer(callback, () -> confirm(callback));
    }

    /**
     * Reads the accepted state if this member is the leader.
     *
     * @param callback receives the newest state; not called if this member is not the leader or cannot be sure of it
     */
    public void readIfLeading(Consumer<VersionSnapshotMessage> callback) {
        ring.offer(() -> {
            if (isTrusted() && log.leads()) {
                callback.accept(state.held());
            }
        });
    }

    /**
     * Returns whether the member still participates in its group.
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
     * Listens for the other members. The log is closed if this fails, for example because the port is still in use:
     * an open log would keep its folder locked, and no later attempt could open it.
     */
    private static void listen(WireTransport transport, InetSocketAddress bind, ConsensusLog log) {
        boolean isListening = false;
        try {
            transport.listen(bind, log);
            isListening = true;
        } finally {
            if (!isListening) {
                log.close();
            }
        }
    }

    private void propose(byte[] command, Consumer<VersionResult> callback) {
        offer(callback, () -> log.propose(command, result -> callback.accept(read(result))));
    }

    /** Runs a request on the ring, unless the lease of this member can't be trusted. */
    private void offer(Consumer<VersionResult> callback, Runnable request) {
        boolean accepted = ring.offer(() -> {
            if (isTrusted()) {
                request.run();
            } else {
                callback.accept(new VersionResult.NotLeading());
            }
        });
        if (!accepted) {
            callback.accept(new VersionResult.NotLeading());
        }
    }

    private void confirm(Consumer<VersionResult> callback) {
        log.confirm(leads ->
                callback.accept(leads ? new VersionResult.Recorded(state.held()) : new VersionResult.NotLeading()));
    }

    private void endPut(long version, VersionResult result) {
        Optional.ofNullable(openPuts.remove(version))
                .ifPresent(waiting -> waiting.forEach(each -> each.accept(result)));
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

    /**
     * Returns whether the leader's lease can be trusted. It is measured on a clock that stops during a suspension, so
     * afterwards it is not trusted until it has expired.
     */
    private boolean isTrusted() {
        long now = timers.nanoTime();
        if (watch.detectSuspension()) {
            LOGGER.warn("event=suspension-noticed action=leases-held-back");
            distrustUntil = now + distrustPeriodNanos;
            isDistrusted = true;
        }
        isDistrusted &= now - distrustUntil < 0;
        return !isDistrusted;
    }

    private void publish() {
        if (closed) {
            return;
        }
        boolean trusted = isTrusted();
        boolean leads = trusted && log.leads();
        Optional<String> leader = log.leaderName();
        MemberStatus status =
                new MemberStatus(leader.isPresent() ? log.term() : 0, leader.orElse(""), leads, log.spareVoters());
        if (!status.hasSameLeader(published)) {
            LOGGER.info(
                    "event=leader-seen leader={} term={} leads={} members={}",
                    status.leader(),
                    status.term(),
                    status.leads(),
                    log.describeMembers());
        }
        if (!status.equals(published)) {
            published = status;
            listener.accept(status);
        }
        timers.schedule(STATUS_NANOS, this::publish);
    }
}
