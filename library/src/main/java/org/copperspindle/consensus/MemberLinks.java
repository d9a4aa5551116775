package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
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

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final long silenceNanos;
    private final Map<String, Link> links = new HashMap<>();
    private boolean closed;

    /**
     * Creates the links.
     *
     * @param ring         ring that owns them
     * @param timers       time
     * @param transport    network
     * @param silenceNanos a connection to a member that was silent for so long is opened anew
     */
    MemberLinks(DecisionRing ring, TimerService timers, WireTransport transport, long silenceNanos) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.silenceNanos = silenceNanos;
    }

    void send(String address, WireMessage message) {
        if (!closed) {
            links.computeIfAbsent(address, Link::new).send(message);
        }
    }

    /** Notes that a member said something. */
    void heard(String address) {
        Link link = links.get(address);
        if (link != null) {
            link.aliveAt = timers.nanoTime();
        }
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
        private long aliveAt;

        private Link(String address) {
            this.address = address;
        }

        private void send(WireMessage message) {
            if (peer != null) {
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
                aliveAt = timers.nanoTime();
                connect();
            }
        }

        private void connect() {
            CompletableFuture<Channel> attempt = transport.connect(VoterAddress.parse(address), this);
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
         * After a partition TCP may wait for minutes before it tries again; a new connection goes through at once, so
         * that the member is not taken for lost long after the network is whole.
         */
        private void dropIfSilent() {
            if (timers.nanoTime() - aliveAt > silenceNanos) {
                drop();
            }
        }

        private void drop() {
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
                aliveAt = timers.nanoTime();
                waiting.forEach(opened::send);
                waiting.clear();
            });
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            return true;
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
