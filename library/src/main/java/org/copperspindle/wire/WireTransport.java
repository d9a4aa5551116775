package org.copperspindle.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * TCP transport between the system's own processes. Each frame is a four-byte length followed by one MessagePack
 * message.
 */
public final class WireTransport implements AutoCloseable {

    /** Largest payload; bounds the memory that one peer can make another allocate. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int MAX_WRITES_BEFORE_FLUSH = 64;
    private static final long CLOSE_TIMEOUT_MILLIS = 1000;

    private final EventLoopGroup group;
    private final MessageRegistry registry;
    private final GreetingMessage ownGreeting;
    private final boolean ownsGroup;
    private final WireLimits limits;
    private final WireCounters counters = new WireCounters();
    // Also closes channels that are added while the group is being closed.
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    /**
     * Creates a transport with its own network threads.
     *
     * @param threads  number of network threads
     * @param registry messages that this process knows, based on {@link #registry()}
     * @param ownGreeting      this process's greeting
     */
    public WireTransport(int threads, MessageRegistry registry, GreetingMessage ownGreeting) {
        this(threads, registry, ownGreeting, WireLimits.DEFAULT);
    }

    /**
     * Creates a transport with its own network threads and limits.
     *
     * @param threads  number of network threads
     * @param registry messages that this process knows
     * @param ownGreeting      this process's greeting
     * @param limits   bounds on connections
     */
    public WireTransport(int threads, MessageRegistry registry, GreetingMessage ownGreeting, WireLimits limits) {
        this(newGroup(threads, ownGreeting), registry, ownGreeting, true, limits);
    }

    /**
     * Creates a transport on the network threads of the process, which keep running when it is closed.
     *
     * @param group    network threads
     * @param registry messages that this process knows
     * @param ownGreeting      this process's greeting
     * @param limits   bounds on connections
     */
    public WireTransport(
            EventLoopGroup group, MessageRegistry registry, GreetingMessage ownGreeting, WireLimits limits) {
        this(group, registry, ownGreeting, false, limits);
    }

    private WireTransport(
            EventLoopGroup group,
            MessageRegistry registry,
            GreetingMessage ownGreeting,
            boolean ownsGroup,
            WireLimits limits) {
        this.group = group;
        this.registry = registry;
        this.ownGreeting = ownGreeting;
        this.ownsGroup = ownsGroup;
        this.limits = limits;
    }

    private static EventLoopGroup newGroup(int threads, GreetingMessage ownGreeting) {
        // The thread name holds the process id, so that CPU time can be attributed where several processes share a
        // JVM.
        DefaultThreadFactory factory = new DefaultThreadFactory("wire-" + ownGreeting.processId(), true);
        return new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory());
    }

    /**
     * Creates a transport with another identity on the network threads of this one; closing it closes its own
     * connections and leaves the threads running. For measurements that simulate many members in one process.
     *
     * @param other greeting of the other identity
     * @return a transport with its own counters
     */
    public WireTransport withGreeting(GreetingMessage other) {
        return new WireTransport(group, registry, other, false, limits);
    }

    /**
     * Creates a registry that contains the greeting and the heartbeat.
     *
     * @return a new registry
     */
    public static MessageRegistry registry() {
        return new MessageRegistry().register(GreetingMessage.CODEC).register(HeartbeatMessage.CODEC);
    }

    /**
     * Binds a server socket and accepts connections.
     *
     * @param address  address to bind; port 0 picks a free port
     * @param listener receives the events
     * @return the bound channel
     */
    public Channel listen(InetSocketAddress address, PeerListener listener) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new Initializer(listener));
        Channel channel = bootstrap.bind(address).syncUninterruptibly().channel();
        channels.add(channel);
        return channel;
    }

    /**
     * Returns the greeting that this process sends.
     *
     * @return the greeting
     */
    public GreetingMessage ownGreeting() {
        return ownGreeting;
    }

    /**
     * Connects to a peer. The listener is notified once the greetings have been exchanged.
     *
     * @param address  address of the peer
     * @param listener receives the events
     * @return completes on a network thread when the TCP connection is established or has failed
     */
    public CompletableFuture<Channel> connect(InetSocketAddress address, PeerListener listener) {
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new Initializer(listener));
        CompletableFuture<Channel> result = new CompletableFuture<>();
        bootstrap.connect(address).addListener((io.netty.channel.ChannelFuture done) -> {
            if (done.isSuccess()) {
                result.complete(done.channel());
            } else {
                result.completeExceptionally(done.cause());
            }
        });
        return result;
    }

    /**
     * Returns the network threads as a scheduler, for tasks that must not block while the decision ring is full.
     *
     * @return the event loops
     */
    public ScheduledExecutorService scheduler() {
        return group;
    }

    /**
     * Returns the traffic counters.
     *
     * @return counters of all connections of this transport
     */
    public WireCounters counters() {
        return counters;
    }

    /**
     * Closes the listening, accepted and connected sockets, then shuts down the network threads if this transport
     * owns them.
     */
    @Override
    public void close() {
        // An event loop that is shut down while it runs a task ends without closing its channels: the port stays
        // bound and peers wait on a connection that nobody reads. Closing the channels is a task as well, which the
        // loop runs before it ends, even if that is after this timeout.
        channels.close().awaitUninterruptibly(CLOSE_TIMEOUT_MILLIS);
        if (ownsGroup) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        }
    }

    /** Builds the pipeline of one connection. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {
        private final PeerListener listener;

        private Initializer(PeerListener listener) {
            this.listener = listener;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channels.add(channel);
            channel.pipeline()
                    // Messages that the decision ring sends together are written with one system call.
                    .addLast(new FlushConsolidationHandler(MAX_WRITES_BEFORE_FLUSH, true))
                    .addLast(new LengthFieldBasedFrameDecoder(
                            limits.maxFrameBytes(), 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES))
                    .addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
                    .addLast(new PeerHandler(registry, ownGreeting, listener, counters, limits));
        }
    }
}
