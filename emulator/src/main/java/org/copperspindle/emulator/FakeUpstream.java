package org.copperspindle.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;

/**
 * One fake upstream. Runs a bounded number of calls at once, engines slower the fuller their batch is, and writes each
 * execution into the ledger when it starts. Its faults can be replaced while it runs, by {@link #faults(FakeFaults)} or
 * by {@code PUT /emulator/faults} with JSON. All state belongs to its one network thread.
 */
public final class FakeUpstream implements AutoCloseable {

    private static final int MAX_BODY = 8 << 20;
    private static final String FAULTS_PATH = "/emulator/faults";
    private static final int UNAVAILABLE = 503;

    private final FakeSettings settings;
    private final ExecutionLedger ledger;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel channel;
    private final Queue<FakeCall> waiting = new ArrayDeque<>();
    private int running;
    private volatile FakeFaults faults = FakeFaults.NONE;
    private volatile FakeLoad load = FakeLoad.USUAL;
    private volatile FakeUsage usage = new FakeUsage(0, Duration.ZERO);

    /**
     * Starts a fake on a free loopback port, which runs everything at once.
     *
     * @param kind    its interface
     * @param service time that one call takes
     * @param ledger  where executions are written
     */
    public FakeUpstream(FakeKind kind, Duration service, ExecutionLedger ledger) {
        this(FakeSettings.simple(kind, service), ledger);
    }

    /**
     * Starts a fake.
     *
     * @param settings how it behaves
     * @param ledger   where executions are written
     */
    public FakeUpstream(FakeSettings settings, ExecutionLedger ledger) {
        this.settings = settings;
        this.ledger = ledger;
        this.channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY), new CallHandler());
                    }
                })
                .bind(settings.address())
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns where it listens.
     *
     * @return the bound address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Replaces its faults, for calls that start from now on.
     *
     * @param replacement the faults; {@link FakeFaults#NONE} heals it
     */
    public void faults(FakeFaults replacement) {
        faults = replacement;
    }

    /**
     * Replaces its pace, for calls that start from now on, and what its responses state of its load.
     *
     * @param replacement pace and statement; {@link FakeLoad#USUAL} to work as usual and state nothing
     */
    public void load(FakeLoad replacement) {
        load = replacement;
    }

    /**
     * Returns what it has done so far.
     *
     * @return calls and busy time
     */
    public FakeUsage usage() {
        return usage;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void arrive(FakeCall call) {
        call.figures(load.statement(running, waiting.size(), settings.concurrency()));
        if (faults.draining()) {
            call.refuse(UNAVAILABLE);
            return;
        }
        if (running >= settings.concurrency()) {
            waiting.add(call);
            return;
        }
        begin(call);
    }

    private void begin(FakeCall call) {
        running++;
        ledger.ran(call.execution());
        long startedAt = System.nanoTime();
        FakeFaults now = faults;
        call.figures(load.statement(running, waiting.size(), settings.concurrency()));
        if (settings.reportsLoad()) {
            call.load(String.format(
                    Locale.ROOT,
                    "TEXT application_utilization=%.2f, named_metrics.running=%d, named_metrics.queued=%d",
                    (double) running / settings.concurrency(),
                    running,
                    waiting.size()));
        }
        if (now.stall()) {
            call.onClose(() -> {
                worked(startedAt);
                release();
            });
            return;
        }
        long first = load.scaled(settings.service().toNanos()) + TimeUnit.MILLISECONDS.toNanos(now.delayMillis());
        if (call.streams() && now.errorStatus() == 0) {
            after(first, () -> stream(call, startedAt, now.response()));
            return;
        }
        long tokens = settings.kind() == FakeKind.ENGINE ? call.words().length * tokenNanos() : 0;
        after(first + tokens, () -> {
            worked(startedAt);
            if (now.errorStatus() != 0) {
                call.refuse(now.errorStatus());
            } else {
                call.answerWhole(now.response());
            }
            release();
        });
    }

    /** Counts work before its answer goes out: whoever has the answer may ask for the usage at once. */
    private void worked(long startedAt) {
        usage = new FakeUsage(usage.calls() + 1, usage.busy().plusNanos(System.nanoTime() - startedAt));
    }

    private void release() {
        running--;
        FakeCall next = waiting.poll();
        // A caller that left while it waited gets nothing run for it.
        while (next != null && !next.open()) {
            next = waiting.poll();
        }
        if (next != null) {
            begin(next);
        }
    }

    private void stream(FakeCall call, long startedAt, ResponseFault fault) {
        call.startStream();
        streamFrom(call, call.words(), 0, startedAt, fault);
    }

    private void streamFrom(FakeCall call, String[] words, int next, long startedAt, ResponseFault fault) {
        if (!call.open()) {
            worked(startedAt);
            release();
            return;
        }
        boolean cut = fault == ResponseFault.TRUNCATE || fault == ResponseFault.RESET_IN_THE_MIDDLE;
        if (cut && next >= words.length / 2) {
            worked(startedAt);
            call.cut(fault);
            release();
            return;
        }
        if (next == words.length) {
            worked(startedAt);
            call.endStream(fault);
            release();
            return;
        }
        call.word(words[next]);
        after(tokenNanos(), () -> streamFrom(call, words, next + 1, startedAt, fault));
    }

    /** A full batch generates each call's tokens at half the pace of a call alone. */
    private long tokenNanos() {
        return load.scaled(settings.perToken().toNanos()) * (settings.concurrency() + running) / settings.concurrency();
    }

    private void after(long nanos, Runnable action) {
        if (nanos == 0) {
            channel.eventLoop().execute(action);
        } else {
            channel.eventLoop().schedule(action, nanos, TimeUnit.NANOSECONDS);
        }
    }

    /** Answers the calls of one connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            if (request.uri().equals(FAULTS_PATH) && request.method().equals(HttpMethod.PUT)) {
                faults(FakeAnswers.JSON.readValue(body, FakeFaults.class));
                acknowledge(ctx);
                return;
            }
            JsonNode json = FakeAnswers.JSON.readTree(body);
            Execution execution = new Execution(
                    settings.kind(),
                    address().getPort(),
                    FakeAnswers.token(settings.kind(), json),
                    request.headers().get("X-Request-Id", ""),
                    request.headers().get("Idempotency-Key", ""));
            ledger.received(new ReceivedCall(execution, request.uri(), new String(body, StandardCharsets.UTF_8)));
            String completion = FakeAnswers.generated(json, settings.maxTokens());
            arrive(new FakeCall(ctx, json, execution, completion));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void acknowledge(ChannelHandlerContext ctx) {
            byte[] bytes = faults.toString().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            ctx.writeAndFlush(response);
        }
    }
}
