package org.copperspindle.consensus;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import org.copperspindle.control.ControlResult;
import org.copperspindle.control.ProposalResult;
import org.copperspindle.control.ReplicatedState;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.disk.LogFile;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One member with real sockets and files. Messages from or to members in {@code partitioned} are dropped while the
 * connections stay open.
 */
final class SocketMember implements ReplicatedState, PeerListener {

    final String name;
    final List<String> state = new CopyOnWriteArrayList<>();
    ConsensusLog log;
    private final Set<String> partitioned;
    private final DecisionRing ring;
    private final SystemTimerService timers;
    private final WireTransport transport;
    private final Channel listening;

    SocketMember(
            VoterAddress self, List<VoterAddress> voters, Path folder, Set<String> partitioned, LogFile.Opener opener)
            throws IOException {
        this.name = self.name();
        this.partitioned = partitioned;
        this.ring = new DecisionRing("ring-" + name, 1024);
        this.timers = new SystemTimerService("timer-" + name, ring);
        MessageRegistry registry = WireTransport.registry();
        ConsensusLog.codecs().forEach(registry::register);
        this.transport =
                new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "control", name, 1));
        ConsensusSettings settings = new ConsensusSettings(
                "group",
                name,
                self.address(),
                new InetSocketAddress("127.0.0.1", 1),
                voters,
                folder,
                Duration.ofMillis(400));
        try {
            this.log = ConsensusLog.open(ring, timers, transport, this, settings, RaftLimits.DEFAULT, opener);
        } catch (IOException | RuntimeException e) {
            closeRuntime();
            throw e;
        }
        listening = transport.listen(self.address(), this);
        ring.execute(log::start);
    }

    boolean leads() {
        return onRing(log::leads);
    }

    CompletableFuture<ProposalResult> propose(String command) {
        CompletableFuture<ProposalResult> result = new CompletableFuture<>();
        ring.execute(() -> log.propose(command.getBytes(StandardCharsets.UTF_8), result::complete));
        return result;
    }

    String members() {
        return onRing(log::describeMembers);
    }

    /** Stops at once, as in a crash. */
    void kill() {
        listening.close().awaitUninterruptibly();
        log.close();
        closeRuntime();
    }

    @Override
    public ControlResult apply(long index, long term, byte[] command) {
        state.add(new String(command, StandardCharsets.UTF_8));
        return new ControlResult.Done();
    }

    @Override
    public byte[] snapshot() {
        return String.join("\n", state).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void restore(byte[] snapshot) {
        state.clear();
        state.addAll(List.of(new String(snapshot, StandardCharsets.UTF_8).split("\n")));
    }

    @Override
    public boolean onOpen(Peer peer) {
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        boolean lost = partitioned.contains(name)
                || partitioned.contains(peer.greeting().processId());
        return lost || log.onMessage(peer, message);
    }

    @Override
    public boolean onClose(Peer peer) {
        return true;
    }

    private <T> T onRing(Supplier<T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        ring.execute(() -> answer.complete(query.get()));
        return answer.orTimeout(30, TimeUnit.SECONDS).join();
    }

    private void closeRuntime() {
        timers.close();
        transport.close();
        ring.close();
    }
}
