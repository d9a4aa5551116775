package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiPredicate;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One outgoing connection to each other member. Messages that can't be sent are refused rather than queued without
 * bound, since the protocol sends them again. Called on the decision ring only.
 */
final class MemberLinks {

    private static final Logger LOGGER = LogManager.getLogger(MemberLinks.class);
    private static final int MAX_QUEUED = 16;
    private static final int MAX_INCOMING = 64;

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final long silenceNanos;
    private final BiPredicate<Peer, WireMessage> receiver;
    private final Map<String, Peer> incoming = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private long reportedAt;
    private boolean closed;

    /**
     * Creates the links.
     *
     * @param ring         ring that owns them
     * @param timers       timer service
     * @param transport    network
     * @param silenceNanos time without any reply after which a connection is replaced
     * @param receiver     receives the replies
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

    /**
     * Sends a message, or queues it until the connection is open.
     *
     * @return false if it was not sent, because the connection is full or closed
     */
    boolean send(String address, WireMessage message) {
        if (closed) {
            return false;
        }
        // A reply uses the connection of its request, so that each connection shows whether it works.
        Peer requester = isReply(message) ? incoming.get(address) : null;
        if (requester != null && requester.send(message)) {
            return true;
        }
        return links.computeIfAbsent(address, Link::new).send(message);
    }

    /** Records the connection on which a member sends its requests. */
    void recordIncoming(String address, Peer peer) {
        if (incoming.size() < MAX_INCOMING || incoming.containsKey(address)) {
            incoming.put(address, peer);
        }
    }

    /** Records that a reply arrived on one of these connections. */
    void markReplied(Peer peer) {
        links.values().stream().filter(link -> link.peer == peer).forEach(link -> link.awaitingReply = false);
    }

    private static boolean isReply(WireMessage message) {
        return message instanceof AppendReplyMessage
                || message instanceof VoteReplyMessage
                || message instanceof SnapshotReplyMessage;
    }

    /** Drops connections without replies, and reports messages that found no room. */
    void tick() {
        links.values().forEach(Link::dropIfSilent);
        if (timers.nanoTime() - reportedAt >= silenceNanos) {
            reportedAt = timers.nanoTime();
            links.values().forEach(Link::reportRefused);
        }
    }

    void close() {
        closed = true;
        links.values().forEach(Link::drop);
    }

    /** The connection to one member. */
    private final class Link implements PeerListener {
        private final String address;
        private final Deque<WireMessage> queued = new ArrayDeque<>();
        private Peer peer;
        private CompletableFuture<Channel> connecting;
        private long sentAt;
        private boolean awaitingReply;
        private long refused;

        private Link(String address) {
            this.address = address;
        }

        private boolean send(WireMessage message) {
            if (peer != null) {
                if (!awaitingReply) {
                    awaitingReply = true;
                    sentAt = timers.nanoTime();
                }
                return sendNow(message);
            }
            if (queued.size() == MAX_QUEUED) {
                queued.pollFirst();
            }
            queued.addLast(message);
            if (connecting == null) {
                sentAt = timers.nanoTime();
                awaitingReply = true;
                connect();
            }
            return true;
        }

        private boolean sendNow(WireMessage message) {
            boolean mayWait = !(message instanceof RaftMessage raft) || !raft.isBulk();
            boolean sent = (mayWait || peer.isWritable()) && peer.send(message);
            if (!sent) {
                refused++;
            }
            return sent;
        }

        private void connect() {
            CompletableFuture<Channel> attempt = transport.connect(NumericAddress.parse(address), this);
            connecting = attempt;
            attempt.whenComplete((channel, failure) -> {
                if (failure != null) {
                    ring.offerWithRetry(() -> failed(attempt), transport.scheduler());
                }
            });
        }

        private void failed(CompletableFuture<Channel> attempt) {
            if (connecting == attempt) {
                connecting = null;
            }
        }

        /**
         * After a partition, or when a VM disappeared, TCP may keep a dead connection open for minutes, and the member
         * would be considered lost long after it is back. Requests without any reply on the same connection show that;
         * a new connection works at once.
         */
        private void dropIfSilent() {
            if (awaitingReply && timers.nanoTime() - sentAt > silenceNanos) {
                LOGGER.info("event=member-silent address={} action=connects-again", address);
                drop();
            }
        }

        private void reportRefused() {
            if (refused > 0) {
                LOGGER.info("event=link-full address={} refused={}", address, refused);
                refused = 0;
            }
        }

        private void drop() {
            awaitingReply = false;
            queued.clear();
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
                queued.forEach(opened::send);
                queued.clear();
            });
        }

        @Override
        public boolean onMessage(Peer from, WireMessage message) {
            return receiver.test(from, message);
        }

        @Override
        public boolean onClose(Peer closedPeer) {
            return ring.offer(() -> {
                if (peer == closedPeer) {
                    peer = null;
                    connecting = null;
                }
            });
        }
    }
}
