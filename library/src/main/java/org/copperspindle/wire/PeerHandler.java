package org.copperspindle.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Netty end of one connection: greets, decodes, pauses reading while the listener can't take more, and closes a peer
 * that is silent or does not read.
 */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> implements Peer {

    private static final Logger LOGGER = LogManager.getLogger(PeerHandler.class);
    private static final long OFFER_AGAIN_MILLIS = 1;

    private final MessageRegistry registry;
    private final GreetingMessage own;
    private final PeerListener listener;
    private final WireCounters counters;
    private final WireLimits limits;
    private final Deque<BooleanSupplier> waiting = new ArrayDeque<>();
    private final AtomicLong pendingBytes = new AtomicLong();
    private Phase phase = Phase.GREETING;
    private Future<?> greetingTimeout;
    private long resumedAt;
    private volatile ChannelHandlerContext context;
    private volatile GreetingMessage greeting;

    PeerHandler(
            MessageRegistry registry,
            GreetingMessage own,
            PeerListener listener,
            WireCounters counters,
            WireLimits limits) {
        this.registry = registry;
        this.own = own;
        this.listener = listener;
        this.counters = counters;
        this.limits = limits;
    }

    @Override
    public GreetingMessage greeting() {
        return greeting;
    }

    @Override
    public boolean send(WireMessage message) {
        ChannelHandlerContext current = context;
        if (current == null || !current.channel().isActive()) {
            return false;
        }
        byte[] payload = registry.encode(message);
        if (payload.length > limits.maxFrameBytes()) {
            // The peer would close the connection over it, and with it everything else under way there.
            counters.refusedToSend();
            LOGGER.error(
                    "event=message-too-large type={} bytes={}",
                    message.getClass().getSimpleName(),
                    payload.length);
            return false;
        }
        if (pendingBytes.addAndGet(payload.length) > limits.maxPendingBytes()) {
            // Without this bound a peer that stopped reading would hold the memory of all that is meant for it.
            pendingBytes.addAndGet(-payload.length);
            counters.refusedToSend();
            end(current, "peer-not-reading");
            return false;
        }
        counters.sent(payload.length);
        current.writeAndFlush(Unpooled.wrappedBuffer(payload))
                .addListener(done -> pendingBytes.addAndGet(-payload.length));
        return true;
    }

    @Override
    public boolean isWritable() {
        ChannelHandlerContext current = context;
        // A closed connection holds nobody back: sending on it says at once that it is closed.
        return current == null
                || !current.channel().isActive()
                || current.channel().isWritable();
    }

    @Override
    public void close() {
        ChannelHandlerContext current = context;
        if (current != null) {
            current.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        // One bound from connect to greeting: an idle timer would be put off by each dripped byte.
        greetingTimeout = ctx.executor()
                .schedule(
                        () -> refuse(ctx, "greeting-timeout"),
                        limits.greetingTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        send(own);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        phase = Phase.ENDED;
        greetingTimeout.cancel(false);
        if (greeting != null) {
            // The close waits behind messages that the ring refused: an outcome that has arrived must not be taken for
            // one that was cut off.
            deliver(ctx, () -> listener.onClose(this));
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            ctx.fireUserEventTriggered(event);
        } else if (idle.state() == IdleState.WRITER_IDLE) {
            send(HeartbeatMessage.INSTANCE);
        } else if (peerIsSilent(ctx)) {
            counters.silentPeer();
            refuse(ctx, "peer-silent");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            counters.oversized();
            refuse(ctx, "frame-too-large");
        } else if (cause instanceof DecoderException) {
            counters.malformed();
            refuse(ctx, "malformed-frame");
        } else {
            LOGGER.debug(
                    "event=connection-failed remote={} reason=\"{}\"",
                    ctx.channel().remoteAddress(),
                    cause.toString());
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        if (phase == Phase.ENDED) {
            // Frames that came in one read with a refused one: the peer is no longer trusted.
            return;
        }
        byte[] payload = new byte[frame.readableBytes()];
        frame.readBytes(payload);
        counters.received(payload.length);
        try {
            registry.decode(payload).ifPresent(message -> accept(ctx, message));
        } catch (MalformedFrameException e) {
            counters.malformed();
            LOGGER.debug("event=malformed-frame-cause reason=\"{}\"", e.getMessage());
            refuse(ctx, "malformed-frame");
        }
    }

    private void accept(ChannelHandlerContext ctx, WireMessage message) {
        if (message instanceof GreetingMessage received) {
            greet(ctx, received);
        } else if (phase == Phase.GREETING) {
            refuse(ctx, "not-greeted");
        } else if (!(message instanceof HeartbeatMessage)) {
            deliver(ctx, () -> listener.onMessage(this, message));
        }
    }

    private void greet(ChannelHandlerContext ctx, GreetingMessage received) {
        if (phase != Phase.GREETING || received.protocol() < GreetingMessage.OLDEST_PROTOCOL) {
            refuse(ctx, "greeting-refused");
            return;
        }
        phase = Phase.OPEN;
        greetingTimeout.cancel(false);
        greeting = received;
        long heartbeat = limits.heartbeat().toNanos();
        // A peer of a version without heartbeats is silent by right.
        long silence = received.protocol() >= GreetingMessage.HEARTBEAT_PROTOCOL
                ? limits.silence().toNanos()
                : 0;
        ctx.pipeline().addBefore(ctx.name(), null, new IdleStateHandler(silence, heartbeat, 0, TimeUnit.NANOSECONDS));
        deliver(ctx, () -> listener.onOpen(this));
    }

    private boolean peerIsSilent(ChannelHandlerContext ctx) {
        // While reading is paused the silence is this side's own doing, and just after it the bytes are still unread.
        return ctx.channel().config().isAutoRead()
                && System.nanoTime() - resumedAt >= limits.silence().toNanos();
    }

    private void refuse(ChannelHandlerContext ctx, String reason) {
        if (phase != Phase.ENDED) {
            phase = Phase.ENDED;
            end(ctx, reason);
        }
    }

    private void end(ChannelHandlerContext ctx, String reason) {
        counters.closed();
        GreetingMessage peer = greeting;
        LOGGER.warn(
                "event=connection-refused reason={} remote={} peer={}",
                reason,
                ctx.channel().remoteAddress(),
                peer == null ? "" : peer.processId());
        ctx.close();
    }

    private void deliver(ChannelHandlerContext ctx, BooleanSupplier event) {
        if (waiting.isEmpty() && event.getAsBoolean()) {
            return;
        }
        // An event that the ring refused must stay in front of later ones.
        waiting.add(event);
        if (waiting.size() == 1) {
            counters.paused();
            ctx.channel().config().setAutoRead(false);
            offerLater(ctx);
        }
    }

    private void offerLater(ChannelHandlerContext ctx) {
        if (ctx.executor().isShuttingDown()) {
            return;
        }
        ctx.executor().schedule(() -> offerWaiting(ctx), OFFER_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void offerWaiting(ChannelHandlerContext ctx) {
        while (!waiting.isEmpty()) {
            if (!waiting.peek().getAsBoolean()) {
                offerLater(ctx);
                return;
            }
            waiting.poll();
        }
        resumedAt = System.nanoTime();
        ctx.channel().config().setAutoRead(true);
    }

    /** What the peer may do next; used on the connection's network thread only. */
    private enum Phase {
        /** Nothing but a greeting is taken. */
        GREETING,
        /** Messages are taken. */
        OPEN,
        /** Refused or closed: nothing is taken any more. */
        ENDED
    }
}
