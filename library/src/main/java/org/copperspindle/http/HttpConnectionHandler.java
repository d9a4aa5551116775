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

/**
 * One caller's connection: hands its requests on one at a time, so that answers leave in the order of the requests, and
 * bounds the time that each step may take. Its fields belong to the connection's network thread.
 */
final class HttpConnectionHandler extends ChannelInboundHandlerAdapter {

    private static final Logger LOGGER = LogManager.getLogger(HttpConnectionHandler.class);

    /** Requests that may wait behind the one being answered before reading pauses. */
    private static final int MAX_WAITING = 8;

    /** Enough for the last bytes of an answer to be read before the connection is reset. */
    private static final Duration LINGER = Duration.ofSeconds(1);

    private final HttpLimits limits;
    private final HttpCounters counters;
    private final HttpRequestHandler handler;
    private final BooleanSupplier stopping;
    private final RequestAssembler assembler;
    private final Deque<ReceivedRequest> waiting = new ArrayDeque<>();
    private Optional<HttpExchange> current = Optional.empty();
    private boolean takesNoMore;
    private Future<?> requestTimeout;
    private Future<?> idleTimeout;
    private Future<?> writeTimeout;
    private volatile ChannelHandlerContext context;

    HttpConnectionHandler(
            HttpLimits limits, HttpCounters counters, HttpRequestHandler handler, BooleanSupplier stopping) {
        this.limits = limits;
        this.counters = counters;
        this.handler = handler;
        this.stopping = stopping;
        this.assembler = new RequestAssembler(limits.maxBodyBytes());
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        waitForRequest(limits.readTimeout());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object part) {
        try {
            if (!takesNoMore) {
                assembler.accept((HttpObject) part).ifPresent(this::received);
                tellToContinue();
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event != StrictRequestDecoder.REQUEST_STARTED) {
            ctx.fireUserEventTriggered(event);
        } else if (!takesNoMore) {
            cancel(idleTimeout);
            waitForRest();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        cancel(writeTimeout);
        if (!ctx.channel().isWritable()) {
            waitForReader();
        }
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
        takesNoMore = true;
        cancel(requestTimeout);
        cancel(idleTimeout);
        cancel(writeTimeout);
        // Requests that wait were handed to nobody: they are not run, and there is nobody to tell.
        waiting.clear();
        current.ifPresent(this::drop);
    }

    /** Closes the connection unless a request has begun; then it closes after the answer. */
    void closeIfIdle() {
        if (current.isEmpty() && waiting.isEmpty() && assembler.isBetweenRequests()) {
            context.close();
        }
    }

    HttpLimits limits() {
        return limits;
    }

    HttpCounters counters() {
        return counters;
    }

    boolean isStopping() {
        return stopping.getAsBoolean();
    }

    boolean isWritable() {
        return context.channel().isWritable();
    }

    ScheduledExecutorService scheduler() {
        return context.executor();
    }

    void write(Object part) {
        context.write(part);
    }

    ChannelFuture writeAndFlush(Object part) {
        return context.writeAndFlush(part);
    }

    /**
     * Ends an answer. Callable from any thread, after the answer's other parts were written.
     *
     * @param exchange the answered exchange
     * @param close    whether the connection ends with it
     */
    void end(HttpExchange exchange, boolean close) {
        ChannelFuture written = context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        if (!written.isDone()) {
            context.executor().execute(() -> awaitReader(written));
        }
        written.addListener(done -> answered(exchange, close));
    }

    /**
     * Closes the connection in the middle of an answer. Callable from any thread.
     *
     * @param reason for the log
     */
    void abandon(String reason) {
        LOGGER.warn(
                "event=answer-abandoned reason={} remote={}",
                reason,
                context.channel().remoteAddress());
        context.close();
    }

    private void received(ReceivedRequest request) {
        cancel(requestTimeout);
        if (request instanceof ReceivedRequest.Refused) {
            takesNoMore = true;
            counters.refusedRequest();
        }
        waiting.add(request);
        if (waiting.size() >= MAX_WAITING) {
            // A caller that sends without reading answers holds no more than this and what one read brought.
            context.channel().config().setAutoRead(false);
        }
        handleNext();
    }

    private void refuse(ProblemDetails problem) {
        if (!takesNoMore) {
            received(new ReceivedRequest.Refused(problem));
        }
    }

    private void handleNext() {
        if (current.isPresent() || waiting.isEmpty()) {
            return;
        }
        ReceivedRequest next = waiting.poll();
        counters.requestBegun();
        if (next instanceof ReceivedRequest.Refused refused) {
            LOGGER.info(
                    "event=request-refused reason={} remote={}",
                    refused.problem().verdict().reason(),
                    context.channel().remoteAddress());
            HttpExchange exchange = new HttpExchange(this, nothing(), RequestTarget.NONE, new byte[0]);
            current = Optional.of(exchange);
            exchange.respond(refused.problem());
        } else if (next instanceof ReceivedRequest.Whole whole) {
            HttpRequest head = whole.head();
            RequestTarget target = RequestTarget.parse(head.uri()).orElseThrow();
            HttpExchange exchange = new HttpExchange(this, head, target, whole.body());
            current = Optional.of(exchange);
            handle(exchange);
        }
    }

    private void handle(HttpExchange exchange) {
        try {
            handler.handle(exchange);
        } catch (RuntimeException e) {
            counters.handlerFailure();
            LOGGER.error("event=handler-failed", e);
            // The handler may have handed the request on before it failed, so this proves nothing about a run.
            exchange.respond(ProblemDetails.internalError());
        }
    }

    private void answered(HttpExchange exchange, boolean close) {
        if (current.filter(e -> e == exchange).isEmpty()) {
            return;
        }
        cancel(writeTimeout);
        current = Optional.empty();
        counters.requestEnded();
        if (close) {
            closeGently();
            return;
        }
        if (waiting.isEmpty()) {
            waitForNext();
            return;
        }
        handleNext();
    }

    private void waitForNext() {
        if (!context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(true);
        }
        if (!assembler.isBetweenRequests()) {
            tellToContinue();
            waitForRest();
        } else if (isStopping()) {
            context.close();
        } else {
            waitForRequest(limits.idleTimeout());
        }
    }

    /** A close with unread bytes resets the connection, and a reset can destroy the answer before it is read. */
    private void closeGently() {
        takesNoMore = true;
        waiting.clear();
        if (!context.channel().isActive()) {
            return;
        }
        context.channel().config().setAutoRead(true);
        ((SocketChannel) context.channel()).shutdownOutput();
        context.executor().schedule(() -> context.close(), LINGER.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void drop(HttpExchange exchange) {
        current = Optional.empty();
        counters.requestEnded();
        exchange.connectionClosed();
    }

    private void tellToContinue() {
        // Behind an unanswered request the caller would take this for a part of that answer.
        if (current.isEmpty() && waiting.isEmpty() && !takesNoMore && assembler.takeContinue()) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void waitForRequest(Duration bound) {
        cancel(idleTimeout);
        idleTimeout = schedule(bound, () -> context.close());
    }

    private void waitForRest() {
        cancel(requestTimeout);
        if (!context.channel().config().isAutoRead()) {
            // Reading is paused by this side; the time starts when it goes on.
            return;
        }
        // One bound over the whole request: a timer that each byte puts off holds a connection for ever.
        requestTimeout = schedule(limits.readTimeout(), () -> {
            counters.slowSender();
            refuse(ProblemDetails.notRun("request-timeout", 408, "the request did not arrive in time"));
        });
    }

    private void awaitReader(ChannelFuture written) {
        if (!written.isDone()) {
            waitForReader();
        }
    }

    private void waitForReader() {
        cancel(writeTimeout);
        writeTimeout = schedule(limits.writeTimeout(), () -> {
            counters.slowReader();
            abandon("caller-not-reading");
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

    private static HttpRequest nothing() {
        return new DefaultHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/");
    }
}
