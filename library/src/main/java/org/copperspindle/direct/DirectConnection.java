package org.copperspindle.direct;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.http.HeaderField;

/**
 * One connection to an upstream, with one call at a time. It is closed at the first byte that belongs to no call: a
 * second response, or bytes after the first, would otherwise be taken for the response to the next call.
 */
final class DirectConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseDecoder.Receiver {

    private static final Logger LOGGER = LogManager.getLogger(DirectConnection.class);
    private static final String KEEP_ALIVE = "Keep-Alive";
    private static final String TIMEOUT_PARAMETER = "timeout=";
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** Idle timeout assumed for an upstream that does not state its own; below what servers commonly allow. */
    private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 3 * NANOS_PER_SECOND;

    private final String address;
    private final Pool pool;
    private final ExceededBounds exceeded;
    private final ResponseDecoder decoder = new ResponseDecoder(this);
    private final EarlierResponses earlier = new EarlierResponses();
    private Channel channel;
    private String upstream = "";
    private String target = "";
    private ConnectionUse use = ConnectionUse.NEW;
    private DirectExchange exchange;
    private Optional<RequestWriter> writer = Optional.empty();
    private boolean usedBefore;
    private boolean requestWritten;
    private boolean reset;
    private boolean skippingInterim;
    private boolean keepAlive;
    private boolean closeDelimited;
    private boolean responseComplete;
    private boolean strayBytes;
    private long idleTimeoutNanos = DEFAULT_IDLE_TIMEOUT_NANOS;
    private long idleSince;

    DirectConnection(String address, Pool pool, ExceededBounds exceeded) {
        this.address = address;
        this.pool = pool;
        this.exceeded = exceeded;
    }

    String address() {
        return address;
    }

    ResponseDecoder decoder() {
        return decoder;
    }

    /** Sends a call. */
    void use(DirectExchange next) {
        exchange = next;
        upstream = next.call().upstream();
        target = next.call().uri();
        use = next.call().use();
        requestWritten = false;
        decoder.expectResponse(next.call().method());
        decoder.countFor(next.memoryHolder(), next.call().use() != ConnectionUse.NEW);
        if (next.call().check() == ResponseCheck.CONTENT) {
            decoder.countBody();
        }
        responseComplete = false;
        next.sendingOn(this);
        writer = Optional.of(new RequestWriter(channel, next.call(), result -> {
            requestWritten = result.isSuccess();
            if (!requestWritten) {
                channel.close();
            }
        }));
        writer.get().start();
    }

    /** Returns whether the last call on this connection was one to a certain upstream. */
    boolean isTo(String id) {
        return upstream.equals(id);
    }

    /** Returns whether a call may follow the last one on this connection. */
    boolean mayCarry(DirectCall next) {
        return next.use() != ConnectionUse.KEPT_AFTER_OTHER || !target.equals(next.uri());
    }

    /** Returns whether a call like the last one on this connection may not follow on it. */
    boolean needsOtherTarget() {
        return use == ConnectionUse.KEPT_AFTER_OTHER;
    }

    /**
     * Returns whether another call may be sent on this connection: it has been idle for less than half of the time
     * that the upstream allows.
     */
    boolean isFresh(long now) {
        return channel.isActive() && now - idleSince < idleTimeoutNanos / 2;
    }

    void idleSince(long now) {
        idleSince = now;
    }

    void close() {
        channel.close();
    }

    /** Pauses or resumes reading. */
    void setReading(boolean reads) {
        channel.config().setAutoRead(reads);
    }

    /** Closes the connection without notifying its call, whose result nobody waits for any more. */
    void abandon() {
        exchange = null;
        decoder.expectNothing();
        channel.close();
    }

    /** Closes the connection as {@link #abandon} does, because the response of its call is larger than it may be. */
    void abandonExceeded(ResponseBound bound, long limit) {
        exceeded.record(bound, limit, exchange.call());
        abandon();
    }

    @Override
    public void onExceeded(ResponseBound bound, long limit) {
        if (exchange == null || exchange.hasEnded()) {
            return;
        }
        exceeded.record(bound, limit, exchange.call());
        failResponse("response-" + bound.label() + "-too-large");
    }

    @Override
    public void onMemoryShort(ResponseBound bound, long budget) {
        if (exchange == null || exchange.hasEnded()) {
            return;
        }
        exceeded.recordMemoryShort(bound, budget, exchange.call());
        DirectExchange broken = exchange;
        abandon();
        broken.breakOff("response-" + bound.label() + "-too-large");
    }

    @Override
    public void onStrayBytes(int bytes) {
        // An unread rest of a response that this side gave up is no fault of the upstream.
        if (channel.isActive() && !strayBytes) {
            exceeded.recordStray(upstream, address, bytes);
        }
        strayBytes = true;
        keepAlive = false;
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
        if (exchange == null || responseComplete) {
            // The rest of what was read before the connection was closed.
            ctx.close();
            return;
        }
        if (part.decoderResult().isFailure()) {
            failMalformed(part.decoderResult().cause());
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
        if (responseComplete) {
            finish();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        writer.ifPresent(RequestWriter::resume);
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        DirectExchange lost = exchange;
        exchange = null;
        pool.closed(this);
        if (lost == null || lost.hasEnded()) {
            return;
        }
        if (usedBefore && lost.tryResend()) {
            pool.resend(lost);
            return;
        }
        lost.failWithConnection(reset ? "connection-reset" : "connection-closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset can arrive before the end of a body that is delimited by the close of the connection; that body is
        // incomplete.
        reset = true;
        LOGGER.debug("event=upstream-connection-failed upstream={} reason=\"{}\"", address, cause.toString());
        ctx.close();
    }

    private void failMalformed(Throwable cause) {
        if (cause instanceof TooLongHttpLineException) {
            exceeded.record(ResponseBound.LINE, ResponseDecoder.MAX_LINE_BYTES, exchange.call());
        } else if (cause instanceof TooLongHttpHeaderException) {
            exceeded.record(ResponseBound.FIELDS, ResponseDecoder.MAX_FIELDS_BYTES, exchange.call());
        }
        failResponse("malformed-response");
    }

    private void receiveHead(HttpResponse head) {
        if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
            // No call requests it, and what follows would not be HTTP.
            failResponse("malformed-response");
            return;
        }
        skippingInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (skippingInterim) {
            return;
        }
        DirectHead received = new DirectHead(
                head.status().code(),
                head.headers().entries().stream()
                        .map(e -> new HeaderField(e.getKey(), e.getValue()))
                        .toList());
        if (!answersCall(received)) {
            failResponse("response-to-another-request");
            return;
        }
        boolean delimited = received.isDelimited();
        closeDelimited = !delimited;
        // If the response arrived before the whole request was written, the rest of the request is still on the
        // connection.
        keepAlive = HttpUtil.isKeepAlive(head) && delimited && requestWritten && !strayBytes && namesCall(received);
        received.field(KEEP_ALIVE).ifPresent(this::readIdleTimeout);
        exchange.onHead(received);
    }

    /**
     * Returns whether a response belongs to the call, as far as its head shows. A successful one must repeat the id of the
     * request; an error from before the request was read may not know it.
     */
    private boolean answersCall(DirectHead head) {
        String id = exchange.call().requestId();
        if (id.isEmpty()) {
            return true;
        }
        return head.field(DirectCall.REQUEST_ID_FIELD).map(id::equals).orElse(!head.isSuccess());
    }

    /**
     * Returns whether a response repeats the id of the call, if that has one. An error that does not could be sent once more
     * in the place of the next response, and would prove that the next call has not run.
     */
    private boolean namesCall(DirectHead head) {
        return exchange.call().requestId().isEmpty()
                || head.field(DirectCall.REQUEST_ID_FIELD).isPresent();
    }

    /** Fails the call if the content of its response is that of another one; returns whether it is accepted. */
    private boolean acceptsContent() {
        if (exchange.call().check() == ResponseCheck.REPEATED_ID) {
            return true;
        }
        ResponseProof proof = exchange.proof(earlier);
        if (proof == ResponseProof.FOREIGN) {
            failResponse("response-to-another-call");
            return false;
        }
        keepAlive &= proof == ResponseProof.OWN;
        return true;
    }

    private void readIdleTimeout(String value) {
        for (String parameter : value.split(",")) {
            String text = parameter.trim();
            if (text.startsWith(TIMEOUT_PARAMETER)) {
                try {
                    idleTimeoutNanos = Long.parseLong(text.substring(TIMEOUT_PARAMETER.length())) * NANOS_PER_SECOND;
                } catch (NumberFormatException e) {
                    LOGGER.debug("event=keep-alive-unreadable upstream={} value=\"{}\"", address, value);
                }
            }
        }
    }

    private void receiveContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (skippingInterim) {
            skippingInterim = !last;
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
        if (closeDelimited && (reset || !requestWritten)) {
            // The body is incomplete; the close of the connection, which comes next, fails the call. A reset that is
            // noticed
            // by a write of the request closes the connection like an orderly end.
            return;
        }
        if (!acceptsContent()) {
            return;
        }
        responseComplete = true;
        if (closeDelimited) {
            finish();
        }
    }

    private void failResponse(String reason) {
        DirectExchange failed = exchange;
        exchange = null;
        decoder.expectNothing();
        LOGGER.warn(
                "event=answer-spoiled upstream={} request={} reason={}",
                address,
                failed.call().requestId(),
                reason);
        channel.close();
        if (usedBefore && pool.mayBeStale(failed) && failed.tryResend()) {
            // What was received may have followed the response to the call before.
            pool.resend(failed);
            return;
        }
        failed.fail(reason);
    }

    private void finish() {
        DirectExchange ended = exchange;
        exchange = null;
        // A kept connection must not keep the body of its last call.
        writer = Optional.empty();
        responseComplete = false;
        usedBefore = true;
        if (keepAlive && channel.isActive()) {
            // The response may have ended with the last data that was read before a pause. A kept connection must
            // read to notice its close.
            setReading(true);
            pool.idle(this);
        } else {
            channel.close();
        }
        if (ended != null) {
            ended.onEnd();
        }
    }

    /** Hands out the connections, and takes them back. */
    interface Pool {
        /** The connection can carry another call. */
        void idle(DirectConnection connection);

        /** The connection has been closed. */
        void closed(DirectConnection connection);

        /** Returns whether what happens to the call now may be due to the state of its connection before. */
        boolean mayBeStale(DirectExchange exchange);

        /** The call was lost with a kept connection and is to be sent on a new one. */
        void resend(DirectExchange exchange);
    }
}
