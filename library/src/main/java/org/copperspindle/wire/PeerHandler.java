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
 * Netty handler of one peer connection. It exchanges greetings, decodes messages, pauses reading while the listener
 * refuses events, and closes the connection of a peer that is silent or doesn't read.
 */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> implements Peer {

    private static final Logger LOGGER = LogManager.getLogger(PeerHandler.class);
    private static final long RETRY_DELAY_MILLIS = 1;

    private final MessageRegistry registry;
    private final GreetingMessage ownGreeting;
    private final PeerListener listener;
    private final WireCounters counters;
    private final WireLimits limits;
    private final Deque<BooleanSupplier> pendingEvents = new ArrayDeque<>();
    private final AtomicLong pendingBytes = new AtomicLong();
    private volatile boolean closedForSilence;
    private Phase phase = Phase.GREETING;
    private Future<?> greetingTimeout;
    private long readingResumedNanos;
    private volatile ChannelHandlerContext context;
    private volatile GreetingMessage greeting;

    PeerHandler(
            MessageRegistry registry,
            GreetingMessage ownGreeting,
            PeerListener listener,
            WireCounters counters,
            WireLimits limits) {
        this.registry = registry;
        this.ownGreeting = ownGreeting;
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
            // The peer would close the connection because of it, and everything else in progress on it would be
            // lost.
            counters.recordRefused();
            LOGGER.error(
                    "event=message-too-large type={} bytes={}",
                    message.getClass().getSimpleName(),
                    payload.length);
            return false;
        }
        if (pendingBytes.addAndGet(payload.length) > limits.maxPendingBytes()) {
            // Without this bound, messages for a peer that stopped reading would fill this process's memory.
            pendingBytes.addAndGet(-payload.length);
            counters.recordRefused();
            closeRefused(current, "peer-not-reading");
            return false;
        }
        counters.recordSent(payload.length);
        current.writeAndFlush(Unpooled.wrappedBuffer(payload))
                .addListener(done -> pendingBytes.addAndGet(-payload.length));
        return true;
    }

    @Override
    public void flush() {
        ChannelHandlerContext current = context;
        if (current != null) {
            // The first handler consolidates flushes, and would put this one off.
            current.pipeline().firstContext().flush();
        }
    }

    @Override
    public boolean isWritable() {
        ChannelHandlerContext current = context;
        // A closed connection must not block senders: a send on it fails at once.
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
        // One timeout from connect to greeting: an idle timeout would restart with every byte of a slow peer.
        greetingTimeout = ctx.executor()
                .schedule(
                        () -> refuse(ctx, "greeting-timeout"),
                        limits.greetingTimeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        send(ownGreeting);
    }

    @Override
    public boolean isClosedForSilence() {
        return closedForSilence;
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        phase = Phase.ENDED;
        greetingTimeout.cancel(false);
        if (greeting != null) {
            // The close event is queued behind messages that the listener refused: an outcome that has arrived must
            // not count as lost.
            deliver(ctx, () -> listener.onClose(this));
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (!(event instanceof IdleStateEvent idle)) {
            ctx.fireUserEventTriggered(event);
        } else if (idle.state() == IdleState.WRITER_IDLE) {
            send(HeartbeatMessage.INSTANCE);
        } else if (isPeerSilent(ctx)) {
            counters.recordSilentPeer();
            closedForSilence = true;
            refuse(ctx, "peer-silent");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            counters.recordOversized();
            refuse(ctx, "frame-too-large");
        } else if (cause instanceof DecoderException) {
            counters.recordMalformed();
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
            // Frames that arrived in the same read as an invalid one are dropped: the peer is no longer trusted.
            return;
        }
        byte[] payload = new byte[frame.readableBytes()];
        frame.readBytes(payload);
        counters.recordReceived(payload.length);
        try {
            registry.decode(payload).ifPresent(message -> onWireMessage(ctx, message));
        } catch (MalformedFrameException e) {
            counters.recordMalformed();
            LOGGER.debug("event=malformed-frame-cause reason=\"{}\"", e.getMessage());
            refuse(ctx, "malformed-frame");
        }
    }

    private void onWireMessage(ChannelHandlerContext ctx, WireMessage message) {
        if (message instanceof GreetingMessage received) {
            onGreeting(ctx, received);
        } else if (phase == Phase.GREETING) {
            refuse(ctx, "not-greeted");
        } else if (!(message instanceof HeartbeatMessage)) {
            deliver(ctx, () -> listener.onMessage(this, message));
        }
    }

    private void onGreeting(ChannelHandlerContext ctx, GreetingMessage received) {
        if (phase != Phase.GREETING || received.protocol() < GreetingMessage.OLDEST_PROTOCOL) {
            refuse(ctx, "greeting-refused");
            return;
        }
        phase = Phase.OPEN;
        greetingTimeout.cancel(false);
        greeting = received;
        long heartbeat = limits.heartbeat().toNanos();
        // A peer whose version has no heartbeats may be silent for any time.
        long silence = received.protocol() >= GreetingMessage.HEARTBEAT_PROTOCOL
                ? limits.silence().toNanos()
                : 0;
        ctx.pipeline().addBefore(ctx.name(), null, new IdleStateHandler(silence, heartbeat, 0, TimeUnit.NANOSECONDS));
        deliver(ctx, () -> listener.onOpen(this));
    }

    private boolean isPeerSilent(ChannelHandlerContext ctx) {
        // Nothing is read while this side has paused reading, and just afterwards the peer's bytes may still be
        // unread.
        return ctx.channel().config().isAutoRead()
                && System.nanoTime() - readingResumedNanos >= limits.silence().toNanos();
    }

    private void refuse(ChannelHandlerContext ctx, String reason) {
        if (phase != Phase.ENDED) {
            phase = Phase.ENDED;
            closeRefused(ctx, reason);
        }
    }

    private void closeRefused(ChannelHandlerContext ctx, String reason) {
        counters.recordClosed();
        GreetingMessage peer = greeting;
        LOGGER.warn(
                "event=connection-refused reason={} remote={} peer={}",
                reason,
                ctx.channel().remoteAddress(),
                peer == null ? "" : peer.processId());
        ctx.close();
    }

    private void deliver(ChannelHandlerContext ctx, BooleanSupplier event) {
        if (pendingEvents.isEmpty() && event.getAsBoolean()) {
            return;
        }
        // An event that the listener refused must be delivered before later ones.
        pendingEvents.add(event);
        if (pendingEvents.size() == 1) {
            counters.recordPause();
            ctx.channel().config().setAutoRead(false);
            scheduleRetry(ctx);
        }
    }

    private void scheduleRetry(ChannelHandlerContext ctx) {
        if (ctx.executor().isShuttingDown()) {
            return;
        }
        ctx.executor().schedule(() -> deliverPending(ctx), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void deliverPending(ChannelHandlerContext ctx) {
        while (!pendingEvents.isEmpty()) {
            if (!pendingEvents.peek().getAsBoolean()) {
                scheduleRetry(ctx);
                return;
            }
            pendingEvents.poll();
        }
        readingResumedNanos = System.nanoTime();
        ctx.channel().config().setAutoRead(true);
    }

    /** State of the connection; accessed only on its network thread. */
    private enum Phase {
        /** Only a greeting is accepted. */
        GREETING,
        /** Messages are accepted. */
        OPEN,
        /** Refused or closed: nothing is accepted any more. */
        ENDED
    }
}
