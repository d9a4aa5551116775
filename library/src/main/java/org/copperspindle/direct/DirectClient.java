package org.copperspindle.direct;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;

/**
 * The connections of one node to all upstreams. Network thread only.
 */
public final class DirectClient implements UpstreamPort, ListenCheck {

    /**
     * Longest wait for a new connection; milliseconds. A connection within a region takes a few; a lost opening packet is
     * sent again after a second, and another upstream is tried before that.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * A connection that its upstream had closed shows that within a round trip, and the upstream has not seen the call. Lost
     * later, the upstream may have worked on it: whether it is sent once more is for its caller's budget of repeats.
     */
    private static final long STALE_NANOS = Duration.ofMillis(100).toNanos();

    private static final long SWEEP_NANOS = Duration.ofSeconds(1).toNanos();
    private static final int MAX_LINE = 8192;
    private static final int MAX_HEADER = 32768;
    private static final int MAX_CHUNK = 65536;

    private final EventLoop loop;
    private final TimerService timers;
    private final IdleConnections bound;
    private final DeferredTask sweep;
    private final Map<String, Deque<DirectConnection>> idle = new HashMap<>();
    private final Owner owner = new Owner();
    private long connects;

    /**
     * Creates a client without connections.
     *
     * @param loop   network thread
     * @param timers time on it
     * @param bound  how many idle connections are kept
     */
    public DirectClient(EventLoop loop, TimerService timers, IdleConnections bound) {
        this.loop = loop;
        this.timers = timers;
        this.bound = bound;
        this.sweep = new DeferredTask(timers, this::sweep);
    }

    /**
     * Returns how many connections were opened.
     *
     * @return a count
     */
    public long connects() {
        return connects;
    }

    @Override
    public CallHandle call(DirectCall call, DirectListener listener) {
        DirectExchange exchange = new DirectExchange(call, listener);
        if (call.use() == ConnectionUse.KEPT) {
            DirectConnection kept = takeIdle(call.address());
            if (kept != null) {
                exchange.sentAt(timers.nanoTime());
                kept.use(exchange);
                return exchange;
            }
        }
        connect(exchange);
        return exchange;
    }

    @Override
    public void check(String address, Consumer<ListenState> result) {
        open(address, new ChannelInboundHandlerAdapter()).addListener((ChannelFuture done) -> {
            done.channel().close();
            result.accept(stateOf(done));
        });
    }

    private DirectConnection takeIdle(String address) {
        Deque<DirectConnection> kept = idle.get(address);
        // The one used last is the least likely to have been closed by the upstream.
        while (kept != null && !kept.isEmpty()) {
            DirectConnection connection = kept.pollLast();
            if (connection.isFresh(timers.nanoTime())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(DirectExchange exchange) {
        DirectConnection connection = new DirectConnection(exchange.call().address(), owner);
        open(exchange.call().address(), new Initializer(connection))
                .addListener((ChannelFuture done) -> connected(exchange, connection, done));
    }

    private ChannelFuture open(String address, ChannelHandler handler) {
        connects++;
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(handler)
                .connect(NumericAddress.parse(address));
    }

    private static ListenState stateOf(ChannelFuture done) {
        if (done.isSuccess()) {
            return ListenState.LISTENS;
        }
        boolean silent = done.cause() instanceof ConnectTimeoutException || !(done.cause() instanceof ConnectException);
        return silent ? ListenState.SILENT : ListenState.REFUSES;
    }

    private static void connected(DirectExchange exchange, DirectConnection connection, ChannelFuture done) {
        if (!done.isSuccess()) {
            exchange.lose("connect-failed");
        } else if (exchange.hasEnded()) {
            connection.close();
        } else {
            exchange.connected();
            connection.use(exchange);
        }
    }

    private void sweep() {
        long now = timers.nanoTime();
        idle.forEach((address, kept) -> {
            // Fewer are allowed once other nodes have joined.
            int most = bound.most(address);
            while (!kept.isEmpty() && (kept.size() > most || !kept.peekFirst().isFresh(now))) {
                kept.pollFirst().close();
            }
        });
        idle.values().removeIf(Deque::isEmpty);
        if (!idle.isEmpty()) {
            sweep.schedule(SWEEP_NANOS);
        }
    }

    /** Builds the pipeline of one connection. */
    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final DirectConnection connection;

        private Initializer(DirectConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline().addLast(new HttpClientCodec(MAX_LINE, MAX_HEADER, MAX_CHUNK), connection);
        }
    }

    /** Keeps the idle connections. */
    private final class Owner implements DirectConnection.Owner {
        @Override
        public void idle(DirectConnection connection) {
            Deque<DirectConnection> kept = idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
            if (kept.size() >= bound.most(connection.address())) {
                connection.close();
                return;
            }
            connection.idleSince(timers.nanoTime());
            kept.addLast(connection);
            sweep.schedule(SWEEP_NANOS);
        }

        @Override
        public void closed(DirectConnection connection) {
            Deque<DirectConnection> kept = idle.get(connection.address());
            if (kept != null) {
                kept.remove(connection);
            }
        }

        @Override
        public void resend(DirectExchange exchange) {
            if (timers.nanoTime() - exchange.sentAt() < STALE_NANOS) {
                connect(exchange);
            } else {
                exchange.lose("connection-closed");
            }
        }
    }
}
