package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

import io.netty.channel.Channel;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One outgoing connection to each other member. Loses messages rather than holding them: the protocol sends again.
 * Called on the decision ring only.
 */
final class MemberLinks {

    private static final int MAX_WAITING = 16;
    private static final int MAX_INCOMING = 64;

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final long silenceNanos;
    private final BiPredicate<Peer, WireMessage> receiver;
    private final Map<String, Peer> incoming = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private boolean closed;

    /**
     * Creates the links.
     *
     * @param ring         ring that owns them
     * @param timers       time
     * @param transport    network
     * @param silenceNanos a connection on which nothing came back for so long is opened anew
     * @param receiver     takes the answers that come back
     */
    MemberLinks(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            long silenceNanos,
            BiPredicate<Peer, WireMessage> receiver) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.silenceNanos = silenceNanos;
        this.receiver = receiver;
    }

    void send(String address, WireMessage message) {
        if (closed) {
            return;
        }
        // An answer goes back where its request came from, so that each connection shows whether it works.
        Peer asked = isAnswer(message) ? incoming.get(address) : null;
        if (asked != null && asked.send(message)) {
            return;
        }
        links.computeIfAbsent(address, Link::new).send(message);
    }

    /** Notes on which connection a member sends its requests. */
    void requested(String address, Peer peer) {
        if (incoming.size() < MAX_INCOMING || incoming.containsKey(address)) {
            incoming.put(address, peer);
        }
    }

    /** Notes that something came back on a connection of these links. */
    void answered(Peer peer) {
        links.values().stream().filter(link -> link.peer == peer).forEach(link -> link.awaiting = false);
    }

    private static boolean isAnswer(WireMessage message) {
        return message instanceof AppendReplyMessage
                || message instanceof VoteReplyMessage
                || message instanceof SnapshotReplyMessage;
    }

    /** Drops connections that lead nowhere. */
    void tick() {
        links.values().forEach(Link::dropIfSilent);
    }

    void close() {
        closed = true;
        links.values().forEach(Link::drop);
    }

    /** The connection to one member. */
    private final class Link implements PeerListener {
        private final String address;
        private final Deque<WireMessage> waiting = new ArrayDeque<>();
        private Peer peer;
        private CompletableFuture<Channel> connecting;
        private long sentAt;
        private boolean awaiting;

        private Link(String address) {
            this.address = address;
        }

        private void send(WireMessage message) {
            if (peer != null) {
                if (!awaiting) {
                    awaiting = true;
                    sentAt = timers.nanoTime();
                }
                if (peer.isWritable()) {
                    peer.send(message);
                }
                return;
            }
            if (waiting.size() == MAX_WAITING) {
                waiting.pollFirst();
            }
            waiting.addLast(message);
            if (connecting == null) {
                sentAt = timers.nanoTime();
                awaiting = true;
                connect();
            }
        }

        private void connect() {
            CompletableFuture<Channel> attempt = transport.connect(NumericAddress.parse(address), this);
            connecting = attempt;
            attempt.whenComplete((channel, failure) -> {
                if (failure != null) {
                    ring.offerUntilTaken(() -> failed(attempt), transport.scheduler());
                }
            });
        }

        private void failed(CompletableFuture<Channel> attempt) {
            if (connecting == attempt) {
                connecting = null;
            }
        }

        /**
         * After a partition, or with a VM that vanished, TCP may hold a connection for minutes on which nothing arrives;
         * the member would be taken for lost long after it is back. Requests sent without any answer on the same
         * connection show that; a new connection goes through at once.
         */
        private void dropIfSilent() {
            if (awaiting && timers.nanoTime() - sentAt > silenceNanos) {
                drop();
            }
        }

        private void drop() {
            awaiting = false;
            waiting.clear();
            if (peer != null) {
                peer.close();
                peer = null;
            }
            if (connecting != null) {
                connecting.thenAccept(Channel::close);
                connecting = null;
            }
        }

        @Override
        public boolean onOpen(Peer opened) {
            return ring.offer(() -> {
                peer = opened;
                sentAt = timers.nanoTime();
                waiting.forEach(opened::send);
                waiting.clear();
            });
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            return receiver.test(from, message);
        }

        @Override
        public boolean onClose(Peer ended) {
            return ring.offer(() -> {
                if (peer == ended) {
                    peer = null;
                    connecting = null;
                }
            });
        }
    }
}
