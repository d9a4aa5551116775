package org.copperspindle.direct;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.http.HeaderField;

/**
 * One connection to an upstream, with one call at a time. It is closed at the first byte that belongs to no call: a
 * second answer, or bytes behind the first, would else be taken for the answer to the next call.
 */
final class DirectConnection extends SimpleChannelInboundHandler<HttpObject> {

    private static final Logger LOGGER = LogManager.getLogger(DirectConnection.class);
    private static final String REQUEST_ID = "X-Request-Id";
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Idle time that is risked at an upstream that does not state its own; below what servers commonly allow. */
    private static final long DEFAULT_IDLE_NANOS = 3 * NANOS_PER_SECOND;

    private final String address;
    private final Owner owner;
    private Channel channel;
    private DirectExchange exchange;
    private boolean usedBefore;
    private boolean written;
    private boolean reset;
    private boolean skipping;
    private boolean keepAlive;
    private boolean endsWithConnection;
    private boolean done;
    private long idleNanos = DEFAULT_IDLE_NANOS;
    private long idleSince;

    DirectConnection(String address, Owner owner) {
        this.address = address;
        this.owner = owner;
    }

    String address() {
        return address;
    }

    /** Sends a call. */
    void use(DirectExchange next) {
        exchange = next;
        written = false;
        done = false;
        next.sendingOn(this);
        channel.writeAndFlush(request(next.call())).addListener(result -> {
            written = result.isSuccess();
            if (!written) {
                channel.close();
            }
        });
    }

    /** Says whether a call may still be risked on it: half of the time that the upstream allows it to be idle. */
    boolean isFresh(long now) {
        return channel.isActive() && now - idleSince < idleNanos / 2;
    }

    void idleSince(long now) {
        idleSince = now;
    }

    void close() {
        channel.close();
    }

    /** Closes the connection without a word to its call, which nobody waits for any more. */
    void abandon() {
        exchange = null;
        channel.close();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        channel = ctx.channel();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
        if (exchange == null || done) {
            if (channel.isActive() && !(part instanceof LastHttpContent)) {
                LOGGER.warn("event=stray-bytes upstream={} action=connection-closed", address);
            }
            ctx.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            spoil("malformed-response");
            return;
        }
        if (part instanceof HttpResponse head) {
            receiveHead(head);
        }
        if (part instanceof HttpContent content && exchange != null && !exchange.hasEnded()) {
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
        DirectExchange lost = exchange;
        exchange = null;
        owner.closed(this);
        if (lost == null || lost.hasEnded()) {
            return;
        }
        if (usedBefore && lost.mayResend()) {
            owner.resend(lost);
            return;
        }
        lost.lose(reset ? "connection-reset" : "connection-closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset can come before the end of a body that ends with its connection; that body is cut, not whole.
        reset = true;
        LOGGER.debug("event=upstream-connection-failed upstream={} reason=\"{}\"", address, cause.toString());
        ctx.close();
    }

    private void receiveHead(HttpResponse head) {
        skipping = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skipping) {
            return;
        }
        DirectHead received = new DirectHead(
                head.status().code(),
                head.headers().entries().stream()
                        .map(e -> new HeaderField(e.getKey(), e.getValue()))
                        .toList());
        if (!answersCall(received)) {
            spoil("response-to-another-request");
            return;
        }
        boolean framed = HttpUtil.isTransferEncodingChunked(head)
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || head.status().code() == 204
                || head.status().code() == 304;
        endsWithConnection = !framed;
        // An answer that came before the whole request was out leaves the rest of the request on the connection.
        keepAlive = HttpUtil.isKeepAlive(head) && framed && written;
        received.field(KEEP_ALIVE).ifPresent(this::readIdleTimeout);
        exchange.onHead(received);
    }

    /** Success must name the call; an error made before the request was read may not know it. */
    private boolean answersCall(DirectHead head) {
        String expected = exchange.call().requestId();
        if (expected.isEmpty()) {
            return true;
        }
        return head.field(REQUEST_ID).map(expected::equals).orElse(!head.isSuccess());
    }

    private void readIdleTimeout(String value) {
        for (String parameter : value.split(",")) {
            String text = parameter.trim();
            if (text.startsWith(TIMEOUT_PARAMETER)) {
                try {
                    idleNanos = Long.parseLong(text.substring(TIMEOUT_PARAMETER.length())) * NANOS_PER_SECOND;
                } catch (NumberFormatException e) {
                    LOGGER.debug("event=keep-alive-unreadable upstream={} value=\"{}\"", address, value);
                }
            }
        }
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
            exchange.onData(data);
        }
        if (!last || exchange == null) {
            return;
        }
        if (endsWithConnection && reset) {
            // Not whole, and the end of the connection, which comes next, tells so.
            return;
        }
        done = true;
        if (endsWithConnection) {
            finish();
        }
    }

    private void spoil(String reason) {
        DirectExchange failed = exchange;
        exchange = null;
        LOGGER.warn(
                "event=answer-spoiled upstream={} request={} reason={}",
                address,
                failed.call().requestId(),
                reason);
        channel.close();
        failed.fail(reason);
    }

    private void finish() {
        DirectExchange ended = exchange;
        exchange = null;
        done = false;
        usedBefore = true;
        if (keepAlive && channel.isActive()) {
            owner.idle(this);
        } else {
            channel.close();
        }
        if (ended != null) {
            ended.onEnd();
        }
    }

    private static DefaultFullHttpRequest request(DirectCall call) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(call.method()),
                call.uri(),
                Unpooled.wrappedBuffer(call.body()));
        List<HeaderField> fields = call.fields();
        fields.forEach(field -> request.headers().add(field.name(), field.value()));
        boolean mayHaveBody = !call.method().equals("GET") && !call.method().equals("HEAD");
        if (call.body().length > 0 || mayHaveBody) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    /** Who hands out the connections. */
    interface Owner {
        /** The connection can carry another call. */
        void idle(DirectConnection connection);

        /** The connection is gone. */
        void closed(DirectConnection connection);

        /** The call was lost with a kept connection and goes out on a new one. */
        void resend(DirectExchange exchange);
    }
}
