package org.copperspindle.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;

import io.netty.channel.Channel;
import org.copperspindle.consensus.ConsensusLog;
import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.consensus.VoterAddress;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedState;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;

/**
 * Measures the replicated log with three members in one JVM, on real sockets and the disk of the working folder:
 * proposals a second by number under way, bytes of log per command, time to recover by size of the log, and time from
 * the loss of a leader to the first command that another commits. Run with the working folder as the only argument.
 */
public final class ConsensusMeasurement {

    private static final int COMMAND_BYTES = 200;
    private static final int PROPOSALS = 6000;
    private static final int FAILOVERS = 5;
    private static final Duration ELECTION = Duration.ofSeconds(1);

    private final Path folder;
    private final List<VoterAddress> voters = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();

    private ConsensusMeasurement(Path folder) {
        this.folder = folder;
    }

    /**
     * Runs the measurement and prints a line for each figure.
     *
     * @param arguments the working folder
     * @throws Exception if a member can't start
     */
    public static void main(String[] arguments) throws Exception {
        new ConsensusMeasurement(Path.of(arguments[0])).run();
        System.exit(0);
    }

    private void run() throws Exception {
        LoopbackHost host = LoopbackHost.open();
        for (int i = 1; i <= 3; i++) {
            voters.add(new VoterAddress("m" + i, host.nextAddress()));
        }
        for (VoterAddress voter : voters) {
            nodes.add(new Node(voter));
        }
        for (int underWay : new int[] {1, 8, 64, 512}) {
            measureProposals(underWay);
        }
        for (int i = 0; i < FAILOVERS; i++) {
            measureFailover();
        }
        measureRecovery();
    }

    private void measureProposals(int underWay) throws IOException {
        Node leader = awaitLeader();
        int proposals = underWay == 1 ? PROPOSALS / 10 : PROPOSALS;
        long bytes = logBytes(leader);
        AtomicInteger left = new AtomicInteger(proposals);
        CompletableFuture<Void> done = new CompletableFuture<>();
        long start = System.nanoTime();
        for (int i = 0; i < underWay; i++) {
            leader.ring.execute(() -> leader.proposeNext(left, done));
        }
        done.join();
        double seconds = (System.nanoTime() - start) / 1e9;
        System.out.printf(
                "proposals under-way=%d per-second=%.0f mean-millis=%.2f log-bytes-per-command=%.1f%n",
                underWay,
                proposals / seconds,
                seconds * 1000 * underWay / proposals,
                (logBytes(leader) - bytes) / (double) proposals);
    }

    private void measureFailover() throws IOException {
        Node old = awaitLeader();
        nodes.remove(old);
        long start = System.nanoTime();
        old.kill();
        Node next = awaitLeader();
        AtomicInteger left = new AtomicInteger(1);
        CompletableFuture<Void> done = new CompletableFuture<>();
        next.ring.execute(() -> next.proposeNext(left, done));
        done.join();
        System.out.printf("failover millis=%.0f%n", (System.nanoTime() - start) / 1e6);
        nodes.add(new Node(old.voter));
    }

    private void measureRecovery() throws IOException {
        for (int round = 0; round < 3; round++) {
            for (int i = 0; i < 2; i++) {
                measureProposals(512);
            }
            Node follower = nodes.stream().filter(n -> !n.leads()).findFirst().orElseThrow();
            nodes.remove(follower);
            follower.kill();
            long bytes = logBytes(follower);
            nodes.add(new Node(follower.voter));
            System.out.printf("recovery log-bytes=%d open-millis=%.1f%n", bytes, nodes.get(2).openNanos / 1e6);
        }
    }

    private Node awaitLeader() {
        while (true) {
            for (Node node : nodes) {
                if (node.leads()) {
                    return node;
                }
            }
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
        }
    }

    private long logBytes(Node node) throws IOException {
        try (Stream<Path> files = Files.list(folder.resolve(node.voter.name()))) {
            return files.filter(p -> p.getFileName().toString().startsWith("log-"))
                    .mapToLong(p -> p.toFile().length())
                    .sum();
        }
    }

    /** One member, with a state that only counts. */
    private final class Node implements ReplicatedState {
        private final VoterAddress voter;
        private final DecisionRing ring;
        private final SystemTimerService timers;
        private final WireTransport transport;
        private final ConsensusLog log;
        private final Channel listening;
        private final long openNanos;

        private Node(VoterAddress voter) throws IOException {
            this.voter = voter;
            this.ring = new DecisionRing("ring-" + voter.name(), DecisionRing.DEFAULT_SLOTS);
            this.timers = new SystemTimerService("timer-" + voter.name(), ring);
            MessageRegistry registry = WireTransport.registry();
            ConsensusLog.codecs().forEach(registry::register);
            GreetingMessage greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "control", voter.name(), 1);
            this.transport = new WireTransport(1, registry, greeting);
            ConsensusSettings settings = new ConsensusSettings(
                    "measured",
                    voter.name(),
                    voter.address(),
                    voter.address(),
                    voters,
                    folder.resolve(voter.name()),
                    ELECTION);
            long start = System.nanoTime();
            this.log = ConsensusLog.open(ring, timers, transport, this, settings);
            this.openNanos = System.nanoTime() - start;
            this.listening = transport.listen(voter.address(), log);
            ring.execute(log::start);
        }

        private boolean leads() {
            CompletableFuture<Boolean> answer = new CompletableFuture<>();
            ring.execute(() -> answer.complete(log.leads()));
            return answer.join();
        }

        private void proposeNext(AtomicInteger left, CompletableFuture<Void> done) {
            log.propose(new byte[COMMAND_BYTES], result -> {
                int now = result instanceof ProposalResult.Committed ? left.decrementAndGet() : left.get();
                if (now <= 0) {
                    done.complete(null);
                } else {
                    proposeNext(left, done);
                }
            });
        }

        private void kill() {
            listening.close().awaitUninterruptibly();
            log.close();
            timers.close();
            transport.close();
            ring.close();
        }

        @Override
        public ControlResult apply(long index, long term, byte[] command) {
            return new ControlResult.Done();
        }

        @Override
        public byte[] snapshot() {
            return new byte[1];
        }

        @Override
        public void restore(byte[] snapshot) {
            // the state only counts
        }
    }
}
