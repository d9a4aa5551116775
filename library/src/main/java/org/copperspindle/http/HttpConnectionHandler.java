package org.copperspindle.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.memory.MemoryHolder;

/**
 * Netty handler of one caller's connection. It passes requests to the handler one at a time, so that responses are
 * sent in the order of the requests, and enforces the timeouts. Fields are accessed only on the connection's network
 * thread.
 */
final class HttpConnectionHandler extends ChannelInboundHandlerAdapter implements StrictRequestDecoder.Connection {

    private static final Logger LOGGER = LogManager.getLogger(HttpConnectionHandler.class);

    /** Pipelined requests that may be queued behind the current one before reading pauses. */
    private static final int MAX_QUEUED_REQUESTS = 8;

    /** Time for the caller to read the last bytes of a response before the connection is closed. */
    private static final Duration LINGER_TIME = Duration.ofSeconds(1);

    private final HttpLimits limits;
    private final HttpCounters counters;
    private final HttpRequestHandler handler;
    private final BooleanSupplier stopping;
    private final HeldMemory memory;
    private final ArrivingRequest arriving;
    private final RequestAssembler assembler;
    private final StrictRequestDecoder decoder;
    private final Deque<ReceivedRequest> queuedRequests = new ArrayDeque<>();
    private Optional<HttpExchange> currentExchange = Optional.empty();
    private boolean inputClosed;
    private volatile boolean hasQueued;
    private Future<?> readTimeout;
    private Future<?> idleTimeout;
    private Future<?> writeTimeout;
    private volatile ChannelHandlerContext context;

    HttpConnectionHandler(
            HttpLimits limits,
            HttpCounters counters,
            HttpRequestHandler handler,
            HeldMemory memory,
            DecodingTurns turns,
            BooleanSupplier stopping) {
        this.limits = limits;
        this.counters = counters;
        this.handler = handler;
        this.stopping = stopping;
        this.memory = memory;
        this.arriving = new ArrivingRequest(memory, this::rejectArriving);
        this.assembler = new RequestAssembler(limits.maxBodyBytes(), arriving);
        this.decoder = new StrictRequestDecoder(limits, arriving, turns, this);
    }

    /** Returns the decoder of this connection's requests. */
    StrictRequestDecoder decoder() {
        return decoder;
    }

    @Override
    public boolean takesRequests() {
        return queuedRequests.size() < MAX_QUEUED_REQUESTS;
    }

    @Override
    public void onTurnChanged() {
        updateReading();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        startIdleTimeout(limits.readTimeout());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        try {
            if (!inputClosed) {
                Optional<ReceivedRequest> received = assembler.accept((HttpObject) part);
                // The part may have been refused already, together with an earlier request of this connection.
                received.filter(request -> !inputClosed).ifPresent(this::onRequest);
                if (part instanceof HttpRequest && !assembler.isIdle()) {
                    startReadTimeout();
                }
                sendContinueIfExpected();
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        updateReading();
        ctx.fireChannelReadComplete();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != StrictRequestDecoder.REQUEST_STARTED) {
            ctx.fireUserEventTriggered(event);
        } else if (!inputClosed) {
            cancel(idleTimeout);
            startReadTimeout();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        cancel(writeTimeout);
        if (!ctx.channel().isWritable()) {
            startWriteTimeout();
        }
        currentExchange.ifPresent(HttpExchange::writabilityChanged);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            refuse(RequestAssembler.problem(cause));
            return;
        }
        LOGGER.debug(
                "event=caller-connection-failed remote={} reason=\"{}\"",
                ctx.channel().remoteAddress(),
                cause.toString());
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        inputClosed = true;
        cancel(readTimeout);
        cancel(idleTimeout);
        cancel(writeTimeout);
        // Queued requests were not passed to the handler: they don't run, and no caller is left to answer.
        dropUnhandled();
        currentExchange.ifPresent(this::dropExchange);
    }

    /** Closes the connection unless a request has begun; in that case it closes after the response. */
    void closeIfIdle() {
        if (currentExchange.isEmpty() && queuedRequests.isEmpty() && !hasRequestBegun()) {
            context.close();
        }
    }

    HttpLimits limits() {
        return limits;
    }

    HttpCounters counters() {
        return counters;
    }

    HeldMemory memory() {
        return memory;
    }

    /**
     * Returns whether the connection closes after the current response because the listener stops. A request that has been
     * read whole is answered before that: its caller could not know whether it has run. May be called from any thread.
     */
    boolean closesAfterResponse() {
        return stopping.getAsBoolean() && !hasQueued;
    }

    boolean isWritable() {
        return context.channel().isWritable();
    }

    ScheduledExecutorService scheduler() {
        return context.executor();
    }

    ChannelFuture write(Object part) {
        return context.write(part);
    }

    ChannelFuture writeAndFlush(Object part) {
        return context.writeAndFlush(part);
    }

    /**
     * Completes a response. May be called from any thread, after the other parts of the response were written.
     *
     * @param exchange the exchange that was responded to
     * @param close    whether the connection closes after it
     */
    void complete(HttpExchange exchange, boolean close) {
        ChannelFuture written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!written.isDone()) {
            context.executor().execute(() -> startWriteTimeoutUnlessDone(written));
        }
        written.addListener(done -> onResponseWritten(exchange, close));
    }

    /**
     * Closes the connection before the response is complete. May be called from any thread.
     *
     * @param reason reason for the log
     */
    void abort(String reason) {
        LOGGER.warn(
                "event=answer-abandoned reason={} remote={}",
                reason,
                context.channel().remoteAddress());
        context.close();
    }

    /** Closes the connection at once, without a line of its own in the log. May be called from any thread. */
    void closeNow() {
        context.close();
    }

    private void onRequest(ReceivedRequest request) {
        cancel(readTimeout);
        if (request instanceof ReceivedRequest.Refused) {
            inputClosed = true;
            assembler.discard();
            decoder.discard();
            counters.refusedRequest();
        }
        queuedRequests.add(request);
        hasQueued = true;
        updateReading();
        handleNext();
    }

    /**
     * Reads while requests are taken and nothing waits to be decoded. This bounds what a caller that sends requests without
     * reading responses can have held to these requests and the bytes of one read.
     */
    private void updateReading() {
        boolean reads = inputClosed || takesRequests() && !decoder.isAwaitingTurn();
        if (context.channel().config().isAutoRead() != reads) {
            context.channel().config().setAutoRead(reads);
        }
    }

    /** Rejects what has not been passed to the handler, because its memory was given to others. */
    private void rejectArriving(MemoryHolder holder) {
        if (!context.executor().inEventLoop()) {
            context.executor().execute(() -> rejectArriving(holder));
            return;
        }
        boolean queued = queuedRequests.stream()
                .anyMatch(r -> r instanceof ReceivedRequest.Whole whole && whole.holder() == holder);
        if (queued || arriving.isHeldBy(holder)) {
            dropUnhandled();
            onRequest(new ReceivedRequest.Refused(RequestAssembler.memoryShort()));
        }
    }

    private void refuse(ProblemDetails problem) {
        if (!inputClosed) {
            onRequest(new ReceivedRequest.Refused(problem));
        }
    }

    private void handleNext() {
        if (currentExchange.isPresent() || queuedRequests.isEmpty()) {
            return;
        }
        ReceivedRequest next = queuedRequests.poll();
        hasQueued = !queuedRequests.isEmpty();
        counters.requestBegun();
        if (next instanceof ReceivedRequest.Refused refused) {
            LOGGER.info(
                    "event=request-refused reason={} remote={}",
                    refused.problem().verdict().reason(),
                    context.channel().remoteAddress());
            HttpExchange exchange =
                    new HttpExchange(this, placeholderRequest(), RequestTarget.NONE, new byte[0], memory.open());
            currentExchange = Optional.of(exchange);
            exchange.respond(refused.problem());
        } else if (next instanceof ReceivedRequest.Whole whole) {
            HttpRequest head = whole.head();
            RequestTarget target = RequestTarget.parse(head.uri()).orElseThrow();
            HttpExchange exchange = new HttpExchange(this, head, target, whole.body(), whole.holder());
            currentExchange = Optional.of(exchange);
            handle(exchange);
        }
    }

    private void handle(HttpExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (RuntimeException e) {
            counters.handlerFailure();
            LOGGER.error("event=handler-failed", e);
            // The handler may have passed the request on before it failed, so the request may have run.
            exchange.respond(ProblemDetails.internalError());
        }
    }

    private void onResponseWritten(HttpExchange exchange, boolean close) {
        if (currentExchange.filter(e -> e == exchange).isEmpty()) {
            return;
        }
        cancel(writeTimeout);
        currentExchange = Optional.empty();
        memory.close(exchange.memoryHolder());
        counters.requestEnded();
        if (!context.channel().isActive()) {
            // The write failed because the connection has closed. Requests behind it must not run; channelInactive,
            // which follows, drops them.
            return;
        }
        if (close) {
            closeAfterLinger();
            return;
        }
        if (queuedRequests.isEmpty()) {
            awaitNextRequest();
            return;
        }
        handleNext();
    }

    private boolean hasRequestBegun() {
        return !assembler.isIdle() || decoder.isAwaitingTurn();
    }

    private void awaitNextRequest() {
        decoder.resume();
        updateReading();
        if (hasRequestBegun()) {
            sendContinueIfExpected();
            startReadTimeout();
        } else if (stopping.getAsBoolean()) {
            context.close();
        } else {
            startIdleTimeout(limits.idleTimeout());
        }
    }

    /**
     * Closes the output side first and the connection after a delay. Closing a socket with unread bytes resets the
     * connection, and a reset can discard the response before the caller has read it.
     */
    private void closeAfterLinger() {
        inputClosed = true;
        dropUnhandled();
        if (!context.channel().isActive()) {
            return;
        }
        updateReading();
        ((SocketChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER_TIME.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void dropExchange(HttpExchange exchange) {
        currentExchange = Optional.empty();
        memory.close(exchange.memoryHolder());
        counters.requestEnded();
        exchange.connectionClosed();
    }

    private void dropUnhandled() {
        assembler.discard();
        decoder.discard();
        queuedRequests.forEach(request -> {
            if (request instanceof ReceivedRequest.Whole whole) {
                memory.close(whole.holder());
            }
        });
        queuedRequests.clear();
        hasQueued = false;
    }

    private void sendContinueIfExpected() {
        // While an earlier request is unanswered, the caller would take this for its response.
        if (currentExchange.isEmpty() && queuedRequests.isEmpty() && !inputClosed && assembler.pollContinueExpected()) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void startIdleTimeout(Duration bound) {
        cancel(idleTimeout);
        idleTimeout = schedule(bound, () -> context.close());
    }

    private void startReadTimeout() {
        cancel(readTimeout);
        if (!takesRequests()) {
            // This side has paused reading; the timeout starts when reading resumes.
            return;
        }
        // One timeout for the whole head and one for the whole body. A timeout that restarts with each byte would let
        // a slow caller hold the connection forever.
        Duration bound = assembler.isIdle() ? limits.readTimeout() : limits.bodyTimeout();
        readTimeout = schedule(bound, () -> {
            counters.slowSender();
            refuse(ProblemDetails.notRun("request-timeout", 408, "the request did not arrive in time"));
        });
    }

    private void startWriteTimeoutUnlessDone(ChannelFuture written) {
        if (!written.isDone()) {
            startWriteTimeout();
        }
    }

    private void startWriteTimeout() {
        cancel(writeTimeout);
        writeTimeout = schedule(limits.writeTimeout(), () -> {
            counters.slowReader();
            abort("caller-not-reading");
        });
    }

    private Future<?> schedule(Duration delay, Runnable task) {
        return context.executor().schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    private static void cancel(Future<?> timeout) {
        if (timeout != null) {
            timeout.cancel(false);
        }
    }

    private static HttpRequest placeholderRequest() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/");
    }
}
