package org.copperspindle.wire;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Netty end of one connection: greets, decodes, and pauses reading while the listener can't take more.
 */
final class PeerHandler extends SimpleChannelInboundHandler<ByteBuf> implements Peer {

    private static final Logger LOGGER = LogManager.getLogger(PeerHandler.class);
    private static final long OFFER_AGAIN_MILLIS = 1;

    private final MessageRegistry registry;
    private final GreetingMessage own;
    private final PeerListener listener;
    private final WireCounters counters;
    private final Deque<BooleanSupplier> waiting = new ArrayDeque<>();
    private volatile ChannelHandlerContext context;
    private volatile GreetingMessage greeting;

    PeerHandler(MessageRegistry registry, GreetingMessage own, PeerListener listener, WireCounters counters) {
        this.registry = registry;
        this.own = own;
        this.listener = listener;
        this.counters = counters;
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
        counters.sent(payload.length);
        current.writeAndFlush(Unpooled.wrappedBuffer(payload));
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
        send(own);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (greeting != null) {
            // The close waits behind messages that the ring refused: an outcome that has arrived must not be taken for
            // one that was cut off.
            deliver(ctx, () -> listener.onClose(this));
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof IdleStateEvent && greeting == null) {
            LOGGER.warn("event=greeting-timeout remote={}", ctx.channel().remoteAddress());
            ctx.close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOGGER.debug(
                "event=connection-failed remote={} reason=\"{}\"", ctx.channel().remoteAddress(), cause.toString());
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        byte[] payload = new byte[frame.readableBytes()];
        frame.readBytes(payload);
        counters.received(payload.length);
        try {
            registry.decode(payload).ifPresent(message -> accept(ctx, message));
        } catch (MalformedFrameException e) {
            counters.malformed();
            LOGGER.warn(
                    "event=malformed-frame remote={} bytes={} reason=\"{}\"",
                    ctx.channel().remoteAddress(),
                    payload.length,
                    e.getMessage());
            ctx.close();
        }
    }

    private void accept(ChannelHandlerContext ctx, WireMessage message) {
        if (message instanceof GreetingMessage received) {
            greet(ctx, received);
            return;
        }
        if (greeting == null) {
            LOGGER.warn("event=not-greeted remote={}", ctx.channel().remoteAddress());
            ctx.close();
            return;
        }
        deliver(ctx, () -> listener.onMessage(this, message));
    }

    private void greet(ChannelHandlerContext ctx, GreetingMessage received) {
        if (greeting != null || received.protocol() < GreetingMessage.OLDEST_PROTOCOL) {
            LOGGER.warn(
                    "event=greeting-refused remote={} protocol={}",
                    ctx.channel().remoteAddress(),
                    received.protocol());
            ctx.close();
            return;
        }
        greeting = received;
        deliver(ctx, () -> listener.onOpen(this));
    }

    private void deliver(ChannelHandlerContext ctx, BooleanSupplier event) {
        if (waiting.isEmpty() && event.getAsBoolean()) {
            return;
        }
        // An event that the ring refused must stay in front of later ones.
        waiting.add(event);
        ctx.channel().config().setAutoRead(false);
        if (waiting.size() == 1) {
            offerLater(ctx);
        }
    }

    private void offerLater(ChannelHandlerContext ctx) {
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
        ctx.channel().config().setAutoRead(true);
    }
}
