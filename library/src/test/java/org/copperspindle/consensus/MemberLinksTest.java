package org.copperspindle.consensus;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the links of a member to another one that doesn't read.
 */
class MemberLinksTest {

    private static final int CHUNK_BYTES = 256 << 10;

    /** Less than the largest number of bytes that may wait for a peer before its connection is closed. */
    private static final int MAX_CHUNKS = 40;

    private final DecisionRing ring = new DecisionRing("ring", 1024);
    private final SystemTimerService timers = new SystemTimerService("timer", ring);
    private WireTransport transport;
    private MemberLinks links;
    private String address;

    @BeforeEach
    void listen() throws IOException {
        MessageRegistry registry = WireTransport.registry();
        ConsensusLog.codecs().forEach(registry::register);
        transport = new WireTransport(2, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "control", "m", 1));
        InetSocketAddress other = LoopbackHost.open().nextAddress();
        transport.listen(other, new UnreadingListener());
        address = NumericAddress.format(other);
        links = new MemberLinks(ring, timers, transport, TimeUnit.MINUTES.toNanos(1), (peer, message) -> true);
    }

    @AfterEach
    void close() {
        timers.close();
        transport.close();
        ring.close();
    }

    /** Guards against a message that counts as sent though its connection had no room for it. */
    @Test
    void fullConnectionRefusesBulk() {
        assertThat(sendUntilRefused(chunk())).isLessThan(MAX_CHUNKS);
        assertThat(onRing(() -> links.send(address, chunk()))).isFalse();
    }

    /** Guards against heartbeats that are lost behind entries, so that a follower elects another leader. */
    @Test
    void fullConnectionTakesHeartbeats() {
        sendUntilRefused(chunk());
        assertThat(onRing(() -> links.send(address, append(List.of())))).isTrue();
    }

    /** Sends messages until one is refused, and returns how many were not. */
    private int sendUntilRefused(RaftMessage message) {
        int sent = 0;
        while (sent < MAX_CHUNKS && onRing(() -> links.send(address, message))) {
            sent++;
            // Until the connection is open messages are queued, which tells nothing of its room.
            java.util.concurrent.locks.LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
        }
        return sent;
    }

    private <T> T onRing(Supplier<T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        ring.execute(() -> answer.complete(query.get()));
        return answer.orTimeout(30, TimeUnit.SECONDS).join();
    }

    private static AppendRequestMessage append(List<LogEntry> entries) {
        return new AppendRequestMessage(envelope(), 0, 0, 0, 0, entries);
    }

    private static SnapshotChunkMessage chunk() {
        return new SnapshotChunkMessage(envelope(), 2, 1, 0, CHUNK_BYTES, 0, 0, new byte[CHUNK_BYTES]);
    }

    private static RaftMessage.Envelope envelope() {
        return new RaftMessage.Envelope(1, 1, 2, 1, "127.0.0.1:1");
    }

    /** Refuses all messages, so that the connection isn't read any more. */
    private static final class UnreadingListener implements PeerListener {
        @Override
        public boolean onOpen(Peer peer) {
            return true;
        }

        @Override
        public boolean onMessage(Peer peer, WireMessage message) {
            return false;
        }

        @Override
        public boolean onClose(Peer peer) {
            return true;
        }
    }
}
