package org.copperspindle.consensus;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedLog;
import org.copperspindle.control.ReplicatedState;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.disk.LogFile;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * The replicated log of a group of control members: runs a {@link RaftNode} on the decision ring, its disk work on a
 * separate thread, and its messages over the wire transport. All methods except those of {@link PeerListener} and
 * {@link #close} run on the decision ring.
 */
public final class ConsensusLog implements ReplicatedLog, PeerListener {

    private static final Logger LOGGER = LogManager.getLogger(ConsensusLog.class);
    private static final int SILENT_ELECTION_TIMEOUTS = 3;

    private final DecisionRing ring;
    private final TimerService timers;
    private final ReplicatedState state;
    private final RaftSettings settings;
    private final MemberLinks links;
    private final DiskWorker disk;
    private final RaftNode node;
    private final Map<Long, Consumer<ProposalResult>> pending = new HashMap<>();
    private final Map<Long, Consumer<Boolean>> confirming = new HashMap<>();
    private long confirmations;
    private boolean running;
    private volatile boolean stopped;

    private ConsensusLog(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            ReplicatedState state,
            RaftSettings settings,
            MemberFolder folder,
            RecoveredState recovered) {
        this.ring = ring;
        this.timers = timers;
        this.state = state;
        this.settings = settings;
        long maxSilenceNanos = SILENT_ELECTION_TIMEOUTS * settings.timing().electionNanos();
        this.links = new MemberLinks(ring, timers, transport, maxSilenceNanos, this::receiveReply);
        SplittableRandom random = new SplittableRandom(recovered.hardState().identity());
        this.node = new RaftNode(settings, recovered, random, timers.nanoTime());
        this.disk = new DiskWorker(
                settings.name(),
                folder,
                sequence -> ring.execute(() -> step(() -> node.persisted(sequence, timers.nanoTime()))),
                failure -> ring.execute(() -> fail("disk-failed", failure)));
        recovered.snapshot().ifPresent(this::restore);
    }

    /**
     * Opens the log and reads its folder.
     *
     * @param ring      ring that owns the log
     * @param timers    timer service
     * @param transport network
     * @param state     state to which the log applies commands
     * @param settings  settings of the member
     * @return the log, to be started with {@link #start}
     * @throws CorruptLogException if synced records are damaged or missing; names the file and the offset
     * @throws IOException         if the disk fails or another process uses the folder
     */
    public static ConsensusLog open(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            ReplicatedState state,
            ConsensusSettings settings)
            throws IOException {
        return open(ring, timers, transport, state, settings, settings.limits(), LogFile::open);
    }

    static ConsensusLog open(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            ReplicatedState state,
            ConsensusSettings settings,
            RaftLimits limits,
            LogFile.Opener opener)
            throws IOException {
        MemberFolder folder = new MemberFolder(settings.dataFolder(), limits.segmentBytes(), opener);
        SecureRandom identities = new SecureRandom();
        try {
            RecoveredState recovered = folder.recover(
                    settings.name(), settings.voterSource().isFirstStart(), () -> newIdentity(identities));
            return new ConsensusLog(ring, timers, transport, state, settings.raft(limits), folder, recovered);
        } catch (IOException | RuntimeException e) {
            LOGGER.error("event=log-refused member={} reason=\"{}\"", settings.name(), e.toString());
            // Without this the lock would block every later attempt, also after a fault that the file system reports by
            // an unchecked exception.
            folder.close();
            throw e;
        }
    }

    /**
     * Returns the codecs of the messages between members.
     *
     * @return the codecs
     */
    public static List<MessageCodec<? extends WireMessage>> codecs() {
        return List.of(
                VoteRequestMessage.CODEC,
                VoteReplyMessage.CODEC,
                AppendRequestMessage.CODEC,
                AppendReplyMessage.CODEC,
                SnapshotChunkMessage.CODEC,
                SnapshotReplyMessage.CODEC,
                JoinRequestMessage.CODEC,
                BootstrapGroupMessage.CODEC);
    }

    /**
     * Returns the messages between members.
     *
     * @return their classes, for {@link #onMessage}
     */
    public static Set<Class<? extends WireMessage>> messages() {
        return Set.of(
                VoteRequestMessage.class,
                VoteReplyMessage.class,
                AppendRequestMessage.class,
                AppendReplyMessage.class,
                SnapshotChunkMessage.class,
                SnapshotReplyMessage.class,
                JoinRequestMessage.class,
                BootstrapGroupMessage.class);
    }

    /** Starts to participate in the group. */
    public void start() {
        if (stopped) {
            return;
        }
        links.tick();
        step(() -> node.tick(timers.nanoTime()));
        timers.schedule(settings.timing().heartbeatNanos() / 2, this::start);
    }

    @Override
    public boolean leads() {
        return !stopped && node.leads(timers.nanoTime());
    }

    @Override
    public long term() {
        return node.term();
    }

    @Override
    public Optional<String> leaderAddress() {
        return stopped ? Optional.empty() : node.leader().map(Member::operatorAddress);
    }

    @Override
    public Optional<String> leaderWireAddress() {
        return stopped ? Optional.empty() : node.leader().map(Member::address);
    }

    @Override
    public Optional<String> leaderName() {
        return stopped ? Optional.empty() : node.leader().map(Member::name);
    }

    @Override
    public void propose(byte[] command, Consumer<ProposalResult> callback) {
        OptionalLong index = stopped ? OptionalLong.empty() : node.propose(command, timers.nanoTime());
        if (index.isEmpty()) {
            // Nothing was appended or sent, and no member keeps the command: it will never be committed.
            callback.accept(new ProposalResult.NotTaken(leaderAddress().orElse("")));
            return;
        }
        pending.put(index.getAsLong(), callback);
        step(() -> {});
    }

    @Override
    public void confirm(Consumer<Boolean> callback) {
        confirmations++;
        if (stopped || !node.confirm(confirmations, timers.nanoTime())) {
            callback.accept(false);
            return;
        }
        confirming.put(confirmations, callback);
        step(() -> {});
    }

    /**
     * Removes a member permanently, for example one whose VM will not come back.
     *
     * @param name its name
     * @return false if this member doesn't lead, the other is unknown, or the group would lose its quorum
     */
    public boolean remove(String name) {
        boolean[] accepted = new boolean[1];
        step(() -> accepted[0] = node.remove(name, timers.nanoTime()));
        return accepted[0];
    }

    @Override
    public String describeMembers() {
        return node.membership().toString();
    }

    @Override
    public OptionalInt spareVoters() {
        return stopped ? OptionalInt.empty() : node.spareVoters();
    }

    @Override
    public boolean isRunning() {
        return !stopped;
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
        LOGGER.debug("event=member-disconnected member={}", peer.greeting().processId());
        return true;
    }

    @Override
    public void close() {
        stopped = true;
        ring.execute(this::shutDown);
        disk.close();
    }

    private boolean receiveReply(Peer peer, WireMessage message) {
        return ring.offer(() -> {
            links.markReplied(peer);
            step(() -> node.receive(message, timers.nanoTime()));
        });
    }

    private void receive(Peer peer, WireMessage message) {
        if (message instanceof RaftMessage raft) {
            links.recordIncoming(raft.envelope().address(), peer);
        }
        step(() -> node.receive(message, timers.nanoTime()));
    }

    /**
     * Passes an input to the core and executes the actions that it returns. If a callback proposes meanwhile, the outer
     * call executes the resulting actions.
     */
    private void step(Runnable input) {
        if (stopped) {
            return;
        }
        try {
            input.run();
            if (running) {
                return;
            }
            running = true;
            try {
                List<RaftAction> actions = node.drain();
                while (!actions.isEmpty()) {
                    actions.forEach(this::executeAction);
                    actions = node.drain();
                }
            } finally {
                running = false;
            }
        } catch (RuntimeException e) {
            // The state may be half updated: if the member continued, it could answer from a state that no other member
            // has.
            fail("member-failed", e);
        }
    }

    private void executeAction(RaftAction action) {
        if (action instanceof RaftAction.Send send) {
            if (!links.send(send.address(), send.message())) {
                node.notSent(send.message());
            }
        } else if (action instanceof RaftAction.Persist persist) {
            disk.add(persist);
        } else if (action instanceof RaftAction.Apply apply) {
            apply(apply.entry());
        } else if (action instanceof RaftAction.Restore restore) {
            restore(restore.snapshot());
        } else if (action instanceof RaftAction.Confirmed confirmed) {
            Optional.ofNullable(confirming.remove(confirmed.number())).ifPresent(callback -> callback.accept(true));
        } else if (action instanceof RaftAction.TakeSnapshot take) {
            node.snapshotTaken(new LogSnapshot(take.index(), take.term(), take.membership(), state.snapshot()));
        } else {
            completePendingAsUnknown();
        }
    }

    private void apply(LogEntry entry) {
        ControlResult result = state.apply(entry.index(), entry.term(), entry.body());
        Consumer<ProposalResult> callback = pending.remove(entry.index());
        if (callback != null) {
            callback.accept(new ProposalResult.Committed(entry.index(), result));
        }
    }

    private void restore(LogSnapshot snapshot) {
        if (snapshot.index() > LogSnapshot.BOOTSTRAP_INDEX) {
            state.restore(snapshot.data());
        }
    }

    private void completePendingAsUnknown() {
        List<Consumer<ProposalResult>> open = new ArrayList<>(pending.values());
        pending.clear();
        open.forEach(callback -> callback.accept(new ProposalResult.Unknown()));
        List<Consumer<Boolean>> unconfirmed = new ArrayList<>(confirming.values());
        confirming.clear();
        unconfirmed.forEach(callback -> callback.accept(false));
    }

    private void fail(String event, Exception failure) {
        if (stopped) {
            return;
        }
        LOGGER.error("event={} member={} action=member-stopped", event, settings.name(), failure);
        stopped = true;
        shutDown();
        Thread closer = new Thread(disk::close, "disk-close-" + settings.name());
        closer.setDaemon(true);
        closer.start();
    }

    private void shutDown() {
        links.close();
        completePendingAsUnknown();
    }

    private static long newIdentity(SecureRandom random) {
        long identity = random.nextLong();
        return identity == 0 ? 1 : identity;
    }
}
