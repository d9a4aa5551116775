package org.copperspindle.agent;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.direct.ResponseBound;
import org.copperspindle.direct.ResponseDecoder;

/**
 * One connection to the upstream. It carries one call at a time and is reused only after a whole response with no bytes
 * behind it. Bytes left over from one response, or a second copy of it, would be read as the response to the next call,
 * and a caller would get another caller's result; so any byte that no call waits for closes the connection.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseDecoder.Receiver {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamConnection.class);
    private static final long RESUME_CHECK_MILLIS = 5;

    private final Owner owner;
    private final ResponseDecoder decoder = new ResponseDecoder(this);
    private Channel channel;
    private UpstreamExchange exchange;
    private boolean usedBefore;
    private boolean written;
    private boolean skipping;
    private boolean keepAlive;
    private boolean framed;
    private boolean done;
    private boolean paused;
    private boolean strayBytes;

    UpstreamConnection(Owner owner) {
        this.owner = owner;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /** Sends a call. */
    void use(UpstreamExchange next, FullHttpRequest request) {
        exchange = next;
        written = false;
        done = false;
        decoder.expectResponse(request.method().name());
        next.sendingOn(channel);
        channel.writeAndFlush(request).addListener(result -> {
            written = result.isSuccess();
            if (!written) {
                channel.close();
            }
        });
    }

    boolean isOpen() {
        return channel.isActive();
    }

    void close() {
        channel.close();
    }

    @Override
    public void onExceeded(ResponseBound bound, long limit) {
        LOGGER.warn(
                "event=upstream-bound-exceeded address={} bound={} limit={}",
                channel.remoteAddress(),
                bound.label(),
                limit);
        if (exchange != null) {
            exchange.fail("response " + bound.label() + " too large");
        }
        channel.close();
    }

    @Override
    public void onStrayBytes(int bytes) {
        if (channel.isActive() && !strayBytes) {
            LOGGER.warn(
                    "event=upstream-bound-exceeded address={} bound={} limit=0 bytes={}",
                    channel.remoteAddress(),
                    ResponseBound.STRAY_BYTES.label(),
                    bytes);
        }
        strayBytes = true;
        if (exchange == null) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (exchange == null || done) {
            // No call waits for this: a second response, or bytes behind the first.
            ctx.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            failAndClose("malformed response");
            return;
        }
        if (part instanceof HttpResponse head) {
            receiveHead(head);
        }
        if (part instanceof HttpContent content && !exchange.ended()) {
            receiveContent(content);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (done) {
            finish();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        UpstreamExchange lost = exchange;
        exchange = null;
        owner.closed(this);
        if (lost == null) {
            return;
        }
        if (usedBefore && lost.tryResend()) {
            owner.resend(lost);
            return;
        }
        lost.fail("connection closed before the response was whole");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (exchange != null && !usedBefore) {
            exchange.fail(cause.getClass().getSimpleName());
        }
        ctx.close();
    }

    private void receiveHead(HttpResponse head) {
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            // No call requests it, and what follows would not be HTTP.
            failAndClose("malformed response");
            return;
        }
        if (!written) {
            failAndClose("response before the request was sent");
            return;
        }
        skipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skipping) {
            return;
        }
        String id = head.headers().get("X-Request-Id", exchange.call().requestId());
        if (!id.equals(exchange.call().requestId())) {
            failAndClose("response to another request");
            return;
        }
        // An unrepeatable call has a connection of its own, which would only displace the kept ones.
        keepAlive = HttpUtil.isKeepAlive(head) && exchange.call().repeatable();
        // A body delimited by the end of the connection may be truncated: it can't be shown to be whole.
        framed = HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.status().equals(HttpResponseStatus.NO_CONTENT)
                || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
        exchange.onHead(UpstreamHead.of(head));
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        ByteBuf buffer = content.content();
        if (buffer.isReadable()) {
            byte[] data = new byte[buffer.readableBytes()];
            buffer.readBytes(data);
            if (!exchange.onData(data)) {
                failAndClose("response too large");
                return;
            }
        }
        if (!last) {
            if (!exchange.acceptsMore()) {
                pause();
            }
            return;
        }
        if (!framed) {
            failAndClose("response without a declared end");
            return;
        }
        done = true;
        exchange.end();
    }

    private void failAndClose(String reason) {
        decoder.expectNothing();
        exchange.fail(reason);
        channel.close();
    }

    private void finish() {
        exchange = null;
        done = false;
        usedBefore = true;
        if (keepAlive && !strayBytes && channel.isActive()) {
            owner.idle(this);
        } else {
            channel.close();
        }
    }

    private void pause() {
        if (paused) {
            return;
        }
        paused = true;
        channel.config().setAutoRead(false);
        scheduleResumeCheck();
    }

    private void scheduleResumeCheck() {
        channel.eventLoop().schedule(this::resumeIfAccepted, RESUME_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resumeIfAccepted() {
        if (exchange != null && !exchange.acceptsMore() && channel.isOpen()) {
            scheduleResumeCheck();
            return;
        }
        paused = false;
        channel.config().setAutoRead(true);
    }

    /** Manages the connections. */
    interface Owner {

        /** Called when the connection can carry another call. */
        void idle(UpstreamConnection connection);

        /** Called when the connection is closed. */
        void closed(UpstreamConnection connection);

        /** Called when the call was lost with a reused connection and is to be sent on a new one. */
        void resend(UpstreamExchange exchange);
    }
}
