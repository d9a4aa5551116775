package org.copperspindle.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.memory.HeldMemories;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Server for HTTP/1.1 requests. A graceful shutdown calls, in this order, {@link #announceStop},
 * {@link #stopAccepting}, {@link #drain} and {@link #close}.
 */
public final class HttpListener implements AutoCloseable {

    private static final Logger LOGGER = LogManager.getLogger(HttpListener.class);
    private static final int MAX_WRITES_BEFORE_FLUSH = 64;

    /**
     * Connections accepted in one turn of the network thread. In a surge most are closed at once; with fewer a turn those that
     * wait to be accepted would grow old.
     */
    private static final int MAX_ACCEPTS_PER_READ = 64;

    private static final long DRAIN_CHECK_NANOS = Duration.ofMillis(5).toNanos();

    /**
     * Bytes that wait for a caller below which its response can be written again, and above which it can't. Between
     * them a sender is paused and resumed once for several reads of the caller.
     */
    private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 << 10, 64 << 10);

    private final EventLoopGroup group;
    private final Channel channel;
    private final boolean ownsGroup;
    private final Supplier<HttpLimits> limits;
    private final HttpRequestHandler handler;
    private final HeldMemory memory;
    private final ConnectionAdmission admission;
    private final HttpCounters counters = new HttpCounters();
    private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final UnusedConnections unused = new UnusedConnections();
    private final Map<EventLoop, DecodingTurns> turns = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    /**
     * Binds and starts to listen.
     *
     * @param address address to bind; port 0 picks a free port
     * @param threads network threads
     * @param limits  limits on requests and connections
     * @param handler handles requests
     */
    public HttpListener(InetSocketAddress address, int threads, HttpLimits limits, HttpRequestHandler handler) {
        this("http", address, threads, limits, handler);
    }

    /**
     * Binds and starts to listen.
     *
     * @param name    name of the network threads
     * @param address address to bind; port 0 picks a free port
     * @param threads network threads
     * @param limits  limits on requests and connections
     * @param handler handles requests
     */
    public HttpListener(
            String name, InetSocketAddress address, int threads, HttpLimits limits, HttpRequestHandler handler) {
        this(name, address, threads, limits, handler, HeldMemories.ofOperators());
    }

    /**
     * Binds and starts to listen, with a memory budget.
     *
     * @param name    name of the network threads
     * @param address address to bind; port 0 picks a free port
     * @param threads network threads
     * @param limits  limits on requests and connections
     * @param handler handles requests
     * @param memory  holds requests and the unsent bytes of responses
     */
    public HttpListener(
            String name,
            InetSocketAddress address,
            int threads,
            HttpLimits limits,
            HttpRequestHandler handler,
            HeldMemory memory) {
        this(
                new NetworkThreads(
                        new MultiThreadIoEventLoopGroup(
                                threads, new DefaultThreadFactory(name, true), NioIoHandler.newFactory()),
                        true),
                address,
                () -> limits,
                handler,
                memory,
                ConnectionAdmission.ALL,
                () -> false);
    }

    /**
     * Binds and starts to listen on existing network threads.
     *
     * @param group   network threads; they keep running when the listener is closed
     * @param address address to bind; port 0 picks a free port
     * @param limits  supplies the limits of each new connection
     * @param handler handles requests
     */
    public HttpListener(
            EventLoopGroup group, InetSocketAddress address, Supplier<HttpLimits> limits, HttpRequestHandler handler) {
        this(group, address, limits, handler, HeldMemories.ofOperators());
    }

    /**
     * Binds and starts to listen on existing network threads, with a memory budget.
     *
     * @param group   network threads; they keep running when the listener is closed
     * @param address address to bind; port 0 picks a free port
     * @param limits  supplies the limits of each new connection
     * @param handler handles requests
     * @param memory  holds requests and the unsent bytes of responses
     */
    public HttpListener(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            HttpRequestHandler handler,
            HeldMemory memory) {
        this(group, address, limits, handler, memory, ConnectionAdmission.ALL);
    }

    /**
     * Binds and starts to listen on existing network threads, with a memory budget and a choice of connections.
     *
     * @param group     network threads; they keep running when the listener is closed
     * @param address   address to bind; port 0 picks a free port
     * @param limits    supplies the limits of each new connection
     * @param handler   handles requests
     * @param memory    holds requests and the unsent bytes of responses
     * @param admission decides which connections are taken
     */
    public HttpListener(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            HttpRequestHandler handler,
            HeldMemory memory,
            ConnectionAdmission admission) {
        this(group, address, limits, handler, memory, admission, () -> false);
    }

    /**
     * Binds and starts to listen on existing network threads, with a memory budget and a choice of connections, and
     * notice callers that leave while the threads are late.
     *
     * @param group     network threads; they keep running when the listener is closed
     * @param address   address to bind; port 0 picks a free port
     * @param limits    supplies the limits of each new connection
     * @param handler   handles requests
     * @param memory    holds requests and the unsent bytes of responses
     * @param admission decides which connections are taken
     * @param isLate    returns whether the network thread is late, so that a caller may have left unnoticed
     */
    public HttpListener(
            EventLoopGroup group,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            HttpRequestHandler handler,
            HeldMemory memory,
            ConnectionAdmission admission,
            BooleanSupplier isLate) {
        this(new NetworkThreads(group, false), address, limits, handler, memory, admission, isLate);
    }

    private HttpListener(
            NetworkThreads threads,
            InetSocketAddress address,
            Supplier<HttpLimits> limits,
            HttpRequestHandler handler,
            HeldMemory memory,
            ConnectionAdmission admission,
            BooleanSupplier isLate) {
        this.admission = admission;
        this.group = threads.group();
        this.ownsGroup = threads.areOwned();
        this.limits = limits;
        this.handler = handler;
        this.memory = memory;
        this.channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(MAX_ACCEPTS_PER_READ))
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new LateThreadReads(isLate))
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                .childHandler(new Initializer())
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the bound address.
     *
     * @return the address with the actual port
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    /**
     * Returns the counters.
     *
     * @return counters of this listener
     */
    public HttpCounters counters() {
        return counters;
    }

    /** Closes each connection after its next response from now on; new connections are still accepted. */
    public void announceStop() {
        stopping = true;
    }

    /** Stops accepting connections and closes those without a request in progress. */
    public void stopAccepting() {
        stopping = true;
        channel.close();
        openChannels.forEach(accepted -> accepted.eventLoop().execute(() -> {
            HttpConnectionHandler connection = accepted.pipeline().get(HttpConnectionHandler.class);
            if (connection != null) {
                connection.closeIfIdle();
            }
        }));
    }

    /**
     * Waits, without blocking, until every response has been written to its caller.
     *
     * @param bound longest wait, as callers may not read
     * @param done  called on a network thread when all responses are written or the time is up
     */
    public void drain(Duration bound, Runnable done) {
        long end = System.nanoTime() + bound.toNanos();
        group.execute(() -> awaitResponses(end, done));
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        if (ownsGroup) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    private void awaitResponses(long end, Runnable done) {
        int inProgress = counters.inProgress();
        if (inProgress > 0 && System.nanoTime() < end) {
            group.schedule(() -> awaitResponses(end, done), DRAIN_CHECK_NANOS, TimeUnit.NANOSECONDS);
            return;
        }
        if (inProgress > 0) {
            LOGGER.warn("event=answers-unread count={}", inProgress);
        }
        done.run();
    }

    /** Network threads, and whether they end with the listener. */
    private record NetworkThreads(EventLoopGroup group, boolean areOwned) {}

    /** Builds the pipeline of one connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel accepted) {
            // A connection that counts must be able to give way, whatever other threads set up meanwhile.
            unused.add(accepted);
            int connections = counters.connected();
            accepted.closeFuture().addListener(closed -> {
                unused.remove(accepted);
                counters.disconnected();
            });
            HttpLimits current = limits.get();
            if (!hasRoom(current, connections) && unused.closeOldestBefore(accepted)) {
                counters.replacedConnection();
                connections--;
            }
            if (!admission.admits(connections)) {
                unused.remove(accepted);
                counters.shedConnection();
                accepted.eventLoop().execute(accepted::close);
                return;
            }
            if (connections > current.maxConnections()) {
                unused.remove(accepted);
                counters.refusedConnection();
                accepted.pipeline().addLast(new HttpResponseEncoder());
                accepted.eventLoop().execute(() -> refuse(accepted));
                return;
            }
            openChannels.add(accepted);
            DecodingTurns ofThread = turns.computeIfAbsent(accepted.eventLoop(), DecodingTurns::new);
            HttpConnectionHandler connection = new HttpConnectionHandler(
                    current, counters, requestHandler(accepted), memory, ofThread, () -> stopping);
            accepted.pipeline()
                    // Parts of responses that are written together are sent with one system call.
                    .addLast(new FlushConsolidationHandler(MAX_WRITES_BEFORE_FLUSH, true))
                    .addLast(connection.decoder())
                    .addLast(new HttpResponseEncoder())
                    .addLast(connection);
        }

        private boolean hasRoom(HttpLimits current, int connections) {
            return connections <= current.maxConnections() && admission.hasRoom(connections);
        }

        private HttpRequestHandler requestHandler(SocketChannel accepted) {
            return exchange -> {
                unused.remove(accepted);
                handler.handle(exchange);
            };
        }

        private void refuse(SocketChannel accepted) {
            ProblemDetails problem = new ProblemDetails(
                    HttpResponseStatus.SERVICE_UNAVAILABLE.code(),
                    "too many connections",
                    new NotRunVerdict("too-many-connections"),
                    "",
                    Optional.of(Duration.ofSeconds(1)));
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    Unpooled.wrappedBuffer(problem.body()));
            problem.fields().forEach((name, value) -> response.headers().set(name, value));
            response.headers().set("Content-Type", ProblemDetails.CONTENT_TYPE);
            response.headers().set("Content-Length", response.content().readableBytes());
            response.headers().set("Connection", "close");
            accepted.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }
    }
}
