package org.copperspindle.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.WireMessage;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Members of one group in virtual time, with a lossy network, delayed disks and drifting clocks. The safety properties
 * are checked after every step of a member.
 */
final class SimulatedGroup {

    static final long MILLI = 1_000_000;
    static final RaftTiming TIMING = new RaftTiming(100 * MILLI, 20 * MILLI, 10);
    /** Bytes waiting on a link beyond which it takes no further message. */
    private static final int LINK_ROOM = 64;

    private static final RaftLimits LIMITS = new RaftLimits(1 << 10, 200, 4 << 10, 3, 100, 1 << 20, 600, 2, 1 << 20);

    final VirtualTimerService time = new VirtualTimerService();
    final SplittableRandom random;
    final List<SimulatedMember> members = new ArrayList<>();
    final Set<String> cutLinks = new HashSet<>();
    double loss;
    double duplicates;
    long maxDelay = 2 * MILLI;
    final Map<String, Long> slowLinks = new HashMap<>();

    /** Bytes that each link carries in a millisecond; 0 for links that carry any number at once. */
    long bytesPerMilli;

    /** Messages with entries or parts of a snapshot that were sent to each member. */
    final Map<String, Integer> bulkSent = new HashMap<>();

    private final Map<String, Long> linkFreeAt = new HashMap<>();
    boolean syncBeforeAnswer = true;
    private final Map<Long, Long> leaderOfTerm = new HashMap<>();
    private final Map<Long, String> committed = new LinkedHashMap<>();
    private final Set<String> acknowledged = new HashSet<>();
    private long nextIdentity = 1;

    SimulatedGroup(long seed, int voters) {
        random = new SplittableRandom(seed);
        configureVoters(voters);
    }

    /**
     * Sets the voters in the settings of all members, effective at their next start, and adds members that are missing.
     */
    void configureVoters(int voters) {
        List<RaftSettings.Voter> names = new ArrayList<>();
        for (int i = 0; i < voters; i++) {
            names.add(new RaftSettings.Voter("m" + i, "m" + i));
        }
        members.forEach(m -> m.settings = new RaftSettings("group", m.name, m.name, m.name, names, TIMING, LIMITS));
        for (RaftSettings.Voter voter : names.subList(members.size(), voters)) {
            // Rates at both ends of the declared bound, where a wrong lease would become visible.
            double rate = 1 + (random.nextInt(3) - 1) * TIMING.driftPerMille() / 1000.0;
            members.add(new SimulatedMember(voter.name(), names, rate));
        }
    }

    /** Makes membership dynamic, with a number of voters that a removal must leave. */
    void useDynamicMembership(int minVoters, boolean mayBootstrap) {
        members.forEach(m -> useRoster(m, members, new Roster(minVoters, mayBootstrap, true)));
    }

    /** Makes membership dynamic for a member that knows some others, and whose next start is not the first of the deployment. */
    void useLaterStart(SimulatedMember member, List<SimulatedMember> known, int minVoters) {
        useRoster(member, known, new Roster(minVoters, true, false));
    }

    private void useRoster(SimulatedMember member, List<SimulatedMember> known, Roster roster) {
        List<RaftSettings.Voter> names =
                known.stream().map(m -> new RaftSettings.Voter(m.name, m.name)).toList();
        member.settings =
                new RaftSettings("group", member.name, member.name, member.name, () -> names, roster, TIMING, LIMITS);
    }

    void startAll() {
        members.forEach(SimulatedMember::start);
    }

    SimulatedMember member(int number) {
        return members.get(number);
    }

    Optional<SimulatedMember> leading() {
        return members.stream().filter(SimulatedMember::leads).findFirst();
    }

    /** Advances until a condition holds; fails after a minute of virtual time. */
    void until(String what, java.util.function.BooleanSupplier condition) {
        long deadline = time.nanoTime() + 60_000 * MILLI;
        while (!condition.getAsBoolean()) {
            assertThat(time.nanoTime()).as(what).isLessThan(deadline);
            time.advance(MILLI);
        }
    }

    SimulatedMember awaitLeader() {
        until("a leader", () -> leading().isPresent());
        return leading().orElseThrow();
    }

    /** Proposes a command to the current leader and waits until it is acknowledged. */
    void commit(String command) {
        until("acknowledged " + command, () -> {
            leading().filter(m -> !acknowledged.contains(command)).ifPresent(m -> m.propose(command));
            time.advance(10 * MILLI);
            return acknowledged.contains(command);
        });
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    boolean isAcknowledged(String command) {
        return acknowledged.contains(command);
    }

    void isolate(SimulatedMember member) {
        members.forEach(other -> cutLinks.add(link(member.name, other.name)));
        members.forEach(other -> cutLinks.add(link(other.name, member.name)));
    }

    /** Waits until every running member's state has everything that was acknowledged. */
    void awaitAllHoldAcknowledged() {
        until(
                "all members equal",
                () -> members.stream().filter(m -> m.node != null).allMatch(m -> m.state.containsAll(acknowledged)));
    }

    private void check(SimulatedMember acting) {
        if (acting.node == null) {
            return;
        }
        if (acting.node.role() == RaftRole.LEADER) {
            Long other = leaderOfTerm.putIfAbsent(acting.node.term(), acting.node.identity());
            assertThat(other == null ? acting.node.identity() : other)
                    .as("leader of term " + acting.node.term())
                    .isEqualTo(acting.node.identity());
        }
        assertThat(members.stream().filter(SimulatedMember::leads).count())
                .as("members that lead at " + time.nanoTime())
                .isLessThanOrEqualTo(1);
    }

    private static String link(String from, String to) {
        return from + ">" + to;
    }

    private long upTo(long bound) {
        return random.nextLong(bound) + 1;
    }

    /** Rules of a dynamic membership; the names of the voters are in the settings. */
    private record Roster(int minVoters, boolean mayBootstrap, boolean isFirstStart) implements VoterSource {
        @Override
        public List<VoterAddress> voters() {
            return List.of();
        }

        @Override
        public boolean isDynamic() {
            return true;
        }
    }

    /** One member with its disk. */
    final class SimulatedMember {
        final String name;
        final List<String> state = new ArrayList<>();
        final List<VoteReplyMessage> granted = new ArrayList<>();
        final Set<Long> confirmed = new HashSet<>();
        RaftNode node;
        long minSync;
        long maxSync = 2 * MILLI;
        private double rate;
        private RaftSettings settings;
        private long offset = random.nextLong(1_000_000_000L);
        private final Map<Long, String> proposed = new HashMap<>();
        private SimulatedDisk disk = new SimulatedDisk();
        private long incarnation;
        private long diskFreeAt;

        private SimulatedMember(String name, List<RaftSettings.Voter> voters, double rate) {
            this.name = name;
            this.rate = rate;
            this.settings = new RaftSettings("group", name, name, name, voters, TIMING, LIMITS);
        }

        long now() {
            return offset + (long) (time.nanoTime() * rate);
        }

        /** Continues the clock at another rate from now on. */
        void changeRate(double next) {
            offset = now() - (long) (time.nanoTime() * next);
            rate = next;
        }

        boolean leads() {
            return node != null && node.leads(now());
        }

        /** Lets each save to the disk take a time, or up to a fifth more. */
        void slowSyncs(long nanos) {
            minSync = nanos;
            maxSync = nanos / 5;
        }

        void start() {
            incarnation++;
            if (disk.hard == null) {
                disk.hard = HardState.initial(
                        nextIdentity++, name, settings.voterSource().isFirstStart());
            }
            state.clear();
            disk.snapshot.filter(s -> s.index() > 1).ifPresent(this::restore);
            diskFreeAt = time.nanoTime();
            node = new RaftNode(settings, disk.recover(), random.split(), now());
            long current = incarnation;
            time.schedule(0, () -> tick(current));
        }

        /** Crashes the member; pending disk writes may be partly done, but were not acknowledged. */
        void crash() {
            incarnation++;
            node = null;
            proposed.clear();
            disk.crash(random);
        }

        /** Delivers a message directly, not through the network. */
        void receive(WireMessage message) {
            node.receive(message, now());
            run();
        }

        void loseDisk() {
            disk = new SimulatedDisk();
        }

        /** Loses the log but keeps the identity of the disk, which must never happen in practice. */
        void loseLogButKeepIdentity() {
            HardState old = disk.hard;
            LogSnapshot bootstrap = disk.snapshot.orElseThrow();
            disk = new SimulatedDisk();
            disk.hard = old;
            disk.snapshot = Optional.of(LogSnapshot.bootstrap(bootstrap.membership()));
        }

        boolean propose(String command) {
            if (node == null) {
                return false;
            }
            OptionalLong index = node.propose(command.getBytes(java.nio.charset.StandardCharsets.UTF_8), now());
            index.ifPresent(i -> proposed.put(i, command));
            run();
            return index.isPresent();
        }

        /** Asks whether this member leads; returns false if it knows that it does not. */
        boolean confirm(long number) {
            boolean isAsked = node.confirm(number, now());
            run();
            return isAsked;
        }

        private void tick(long ofIncarnation) {
            if (ofIncarnation != incarnation) {
                return;
            }
            node.tick(now());
            run();
            time.schedule((long) (TIMING.heartbeatNanos() / 2 / rate), () -> tick(ofIncarnation));
        }

        private void run() {
            List<RaftAction> actions = node.drain();
            while (!actions.isEmpty()) {
                actions.forEach(this::execute);
                actions = node.drain();
            }
            check(this);
        }

        private void execute(RaftAction action) {
            if (action instanceof RaftAction.Send send) {
                transmit(send.address(), send.message());
            } else if (action instanceof RaftAction.Persist persist) {
                startWrite(persist);
            } else if (action instanceof RaftAction.Apply apply) {
                applyEntry(apply.entry());
            } else if (action instanceof RaftAction.Restore restore) {
                restore(restore.snapshot());
            } else if (action instanceof RaftAction.Confirmed question) {
                confirmed.add(question.number());
            } else if (action instanceof RaftAction.TakeSnapshot take) {
                byte[] data = String.join("\n", state).getBytes(java.nio.charset.StandardCharsets.UTF_8);
                node.snapshotTaken(new LogSnapshot(take.index(), take.term(), take.membership(), data));
            } else {
                proposed.clear();
            }
        }

        private void restore(LogSnapshot snapshot) {
            state.clear();
            if (snapshot.data().length > 0) {
                String text = new String(snapshot.data(), java.nio.charset.StandardCharsets.UTF_8);
                state.addAll(List.of(text.split("\n")));
            }
        }

        private void applyEntry(LogEntry entry) {
            String command = new String(entry.body(), java.nio.charset.StandardCharsets.UTF_8);
            String known = committed.putIfAbsent(entry.index(), command);
            assertThat(known == null ? command : known)
                    .as("committed entry " + entry.index())
                    .isEqualTo(command);
            state.add(command);
            if (command.equals(proposed.remove(entry.index()))) {
                acknowledged.add(command);
            }
        }

        private void startWrite(RaftAction.Persist persist) {
            disk.begin(persist);
            diskFreeAt = Math.max(diskFreeAt, time.nanoTime()) + minSync + upTo(maxSync);
            long current = incarnation;
            long delay = syncBeforeAnswer ? diskFreeAt - time.nanoTime() : 0;
            if (!syncBeforeAnswer) {
                time.schedule(1, () -> completed(persist, current));
            }
            time.schedule(delay + (syncBeforeAnswer ? 0 : 40 * MILLI), () -> synced(persist, current));
        }

        private void synced(RaftAction.Persist persist, long ofIncarnation) {
            if (ofIncarnation != incarnation) {
                return;
            }
            disk.finish(persist.sequence());
            if (syncBeforeAnswer) {
                completed(persist, ofIncarnation);
            }
        }

        private void completed(RaftAction.Persist persist, long ofIncarnation) {
            if (ofIncarnation != incarnation) {
                return;
            }
            node.persisted(persist.sequence(), now());
            run();
        }

        private void transmit(String to, WireMessage message) {
            checkAcknowledged(message);
            if (message instanceof RaftMessage raft && raft.isBulk()) {
                bulkSent.merge(to, 1, Integer::sum);
            }
            if (!hasRoom(to, message)) {
                node.notSent(message);
                return;
            }
            if (random.nextDouble() < loss) {
                return;
            }
            int copies = random.nextDouble() < duplicates ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                long delay = upTo(maxDelay) + slowLinks.getOrDefault(link(name, to), 0L);
                time.schedule(delay, () -> deliver(to, message));
            }
        }

        /** Returns whether a link takes a message, and lets the bytes of the message wait there. */
        private boolean hasRoom(String to, WireMessage message) {
            if (bytesPerMilli == 0 || !(message instanceof RaftMessage raft) || !raft.isBulk()) {
                return true;
            }
            long waitingNanos = Math.max(0, linkFreeAt.getOrDefault(link(name, to), 0L) - time.nanoTime());
            if (waitingNanos * bytesPerMilli / MILLI > LINK_ROOM) {
                return false;
            }
            linkFreeAt.put(link(name, to), time.nanoTime() + waitingNanos + bytes(message) * MILLI / bytesPerMilli);
            return true;
        }

        private static long bytes(WireMessage message) {
            if (message instanceof AppendRequestMessage append) {
                return append.entries().stream().mapToLong(LogEntry::size).sum();
            }
            return message instanceof SnapshotChunkMessage chunk ? chunk.data().length : 0;
        }

        /** What a member acknowledges must be on its disk if it crashes at this moment. */
        private void checkAcknowledged(WireMessage message) {
            if (message instanceof AppendReplyMessage reply && reply.matched()) {
                assertThat(disk.lastIndex())
                        .as("entries on the disk of " + name)
                        .isGreaterThanOrEqualTo(reply.index());
            }
            if (message instanceof VoteReplyMessage reply && reply.granted() && !reply.preVote()) {
                assertThat(disk.hard.term()).as("term on the disk of " + name).isEqualTo(reply.forTerm());
                assertThat(disk.hard.votedFor()).isEqualTo(reply.envelope().to());
                granted.add(reply);
            }
        }

        private void deliver(String to, WireMessage message) {
            // Checked at delivery, so that messages in flight when the link is cut are lost too.
            if (cutLinks.contains(link(name, to))) {
                return;
            }
            SimulatedMember receiver =
                    members.stream().filter(m -> m.name.equals(to)).findFirst().orElseThrow();
            if (receiver.node != null) {
                receiver.node.receive(message, receiver.now());
                receiver.run();
            }
        }
    }
}
