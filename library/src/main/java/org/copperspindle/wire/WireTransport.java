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
 * Length-framed TCP between the system's own processes: a four-byte length, then one MessagePack message.
 */
public final class WireTransport implements AutoCloseable {

    /** Largest payload; bounds what one peer can make another hold. */
    public static final int MAX_FRAME_BYTES = 8 << 20;

    private static final int LENGTH_BYTES = 4;
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int FLUSH_AFTER = 64;
    private static final long CLOSE_BOUND_MILLIS = 1000;

    private final EventLoopGroup group;
    private final MessageRegistry registry;
    private final GreetingMessage own;
    private final boolean ownsGroup;
    private final WireLimits limits;
    private final WireCounters counters = new WireCounters();
    // Closes what is accepted or connected while it is being closed, too.
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    /**
     * Creates a transport with its own network threads.
     *
     * @param threads  number of network threads
     * @param registry messages that this process knows; the greeting is added by {@link #registry()}
     * @param own      this process's greeting
     */
    public WireTransport(int threads, MessageRegistry registry, GreetingMessage own) {
        this(threads, registry, own, WireLimits.DEFAULT);
    }

    /**
     * Creates a transport with its own network threads and limits.
     *
     * @param threads  number of network threads
     * @param registry messages that this process knows
     * @param own      this process's greeting
     * @param limits   bounds on connections
     */
    public WireTransport(int threads, MessageRegistry registry, GreetingMessage own, WireLimits limits) {
        this(newGroup(threads, own), registry, own, true, limits);
    }

    /**
     * Creates a transport on the network threads of the process, which stay open when it is closed.
     *
     * @param group    network threads
     * @param registry messages that this process knows
     * @param own      this process's greeting
     * @param limits   bounds on connections
     */
    public WireTransport(EventLoopGroup group, MessageRegistry registry, GreetingMessage own, WireLimits limits) {
        this(group, registry, own, false, limits);
    }

    private WireTransport(
            EventLoopGroup group, MessageRegistry registry, GreetingMessage own, boolean ownsGroup, WireLimits limits) {
        this.group = group;
        this.registry = registry;
        this.own = own;
        this.ownsGroup = ownsGroup;
        this.limits = limits;
    }

    private static EventLoopGroup newGroup(int threads, GreetingMessage own) {
        // Named by process, so that processor time can be told apart where several processes share a JVM.
        DefaultThreadFactory factory = new DefaultThreadFactory("wire-" + own.processId(), true);
        return new MultiThreadIoEventLoopGroup(threads, factory, NioIoHandler.newFactory());
    }

    /**
     * Makes a transport of another identity on this one's network threads; closing it closes its own connections and
     * leaves the threads running. For measurements with many stand-in members in one process.
     *
     * @param other greeting of the other identity
     * @return a transport with counters of its own
     */
    public WireTransport withGreeting(GreetingMessage other) {
        return new WireTransport(group, registry, other, false, limits);
    }

    /**
     * Makes a registry that already knows the greeting and the heartbeat.
     *
     * @return a new registry
     */
    public static MessageRegistry registry() {
        return new MessageRegistry().register(GreetingMessage.CODEC).register(HeartbeatMessage.CODEC);
    }

    /**
     * Listens for connections.
     *
     * @param address  address to bind; port 0 takes a free one
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
     * Connects to a peer. The listener hears of the connection once it is greeted.
     *
     * @param address  where to
     * @param listener receives the events
     * @return completes on a network thread when the TCP connection stands, or fails
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

    /** Closes the listening, accepted and connected sockets, then the network threads if they are this transport's. */
    @Override
    public void close() {
        // An event loop that is told to end while it runs a task ends without closing its channels: the port stays
        // taken and peers wait on a connection that nobody reads. Closing is a task too, which the loop runs before it
        // ends, even if it comes to it only after this bound.
        channels.close().awaitUninterruptibly(CLOSE_BOUND_MILLIS);
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
                    // Messages that the ring sends in one go leave in one system call.
                    .addLast(new FlushConsolidationHandler(FLUSH_AFTER, true))
                    .addLast(new LengthFieldBasedFrameDecoder(limits.maxFrameBytes(), 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                    .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                    .addLast(new PeerHandler(registry, own, listener, counters, limits));
        }
    }
}
