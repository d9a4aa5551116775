package org.copperspindle.direct;

import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;

/**
 * The connections of one node to all upstreams. Used on the network thread only.
 */
public final class DirectClient implements UpstreamPort, ListenCheck {

    /**
     * Maximum time to open a connection, in milliseconds. Within a region it takes a few; a lost SYN is sent again
     * after a second, and another upstream is tried before that.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    /**
     * Time after sending within which the loss of a kept connection means that the upstream had closed it before: that
     * shows within a round trip, and the upstream has not seen the call. If it is lost later, the upstream may have
     * worked on the call, and whether to send it once more is up to the retry budget of its sender.
     */
    private static final long STALE_DETECTION_NANOS = Duration.ofMillis(100).toNanos();

    /**
     * A connection that took longer to open was noticed late: the network thread is busy, and may not have read yet that a
     * caller has left.
     */
    private static final long LATE_CONNECT_NANOS = Duration.ofMillis(100).toNanos();

    /** Delay of a timer that is due in the next turn of the network thread and not in this one. */
    private static final long NEXT_TURN_NANOS = Duration.ofMillis(1).toNanos();

    /** First size of a read, in bytes, which adapts to what arrives. */
    private static final int INITIAL_READ_BYTES = 2 << 10;

    /**
     * The most that is read of one connection in a turn of the network thread, in bytes. What many upstreams send without end
     * would otherwise delay all other connections by a turn of megabytes from each.
     */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final RecvByteBufAllocator ONE_READ_IN_A_TURN = new AdaptiveRecvByteBufAllocator(
                    INITIAL_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(1);

    private static final long SWEEP_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final EventLoop loop;
    private final TimerService timers;
    private final IdleConnectionLimit idleLimit;
    private final HeldMemory memory;
    private final BooleanSupplier isLate;
    private final DeferredTask sweepTask;
    private final Map<String, Deque<DirectConnection>> idleByAddress = new HashMap<>();
    private final IdlePool idlePool = new IdlePool();
    private final ExceededBounds exceededBounds = new ExceededBounds();
    private long connects;

    /**
     * Creates a client without connections.
     *
     * @param loop      network thread
     * @param timers    timers on the network thread
     * @param idleLimit limits how many idle connections are kept
     * @param memory    counts the fields of responses
     */
    public DirectClient(EventLoop loop, TimerService timers, IdleConnectionLimit idleLimit, HeldMemory memory) {
        this(loop, timers, idleLimit, memory, () -> false);
    }

    /**
     * Creates a client without connections.
     *
     * @param loop      network thread
     * @param timers    timers on the network thread
     * @param idleLimit limits how many idle connections are kept
     * @param memory    counts the fields of responses
     * @param isLate    returns whether the network thread is late: a call waits then until the thread has handled what has
     *                  arrived on all sockets, as its caller may have left
     */
    public DirectClient(
            EventLoop loop,
            TimerService timers,
            IdleConnectionLimit idleLimit,
            HeldMemory memory,
            BooleanSupplier isLate) {
        this.loop = loop;
        this.timers = timers;
        this.idleLimit = idleLimit;
        this.memory = memory;
        this.isLate = isLate;
        this.sweepTask = new DeferredTask(timers, this::sweep);
    }

    /**
     * Returns how many connections have been opened.
     *
     * @return a count
     */
    public long connects() {
        return connects;
    }

    /**
     * Returns the connections that were closed because of what their upstreams sent.
     *
     * @return counts
     */
    public ExceededBounds exceededBounds() {
        return exceededBounds;
    }

    @Override
    public CallHandle call(DirectCall call, DirectListener listener) {
        DirectExchange exchange = new DirectExchange(call, listener);
        boolean hasCaller = !call.requestId().isEmpty();
        if (hasCaller && isLate.getAsBoolean()) {
            runAfterNextReads(() -> sendIfAwaited(exchange));
        } else {
            send(exchange);
        }
        return exchange;
    }

    /**
     * Runs a task once the network thread has read what has arrived on all sockets by now. Called in a read or in a task; a
     * timer that is due runs before the thread looks at its sockets again, and a task before a timer.
     */
    private void runAfterNextReads(Runnable task) {
        loop.execute(() -> timers.schedule(NEXT_TURN_NANOS, () -> loop.execute(task)));
    }

    private void sendIfAwaited(DirectExchange exchange) {
        if (exchange.rejectUnlessAwaited()) {
            send(exchange);
        }
    }

    private void send(DirectExchange exchange) {
        Optional<DirectConnection> kept =
                exchange.call().use() == ConnectionUse.NEW ? Optional.empty() : takeIdle(exchange.call());
        if (kept.isPresent()) {
            exchange.sentOnKeptAt(timers.nanoTime());
            kept.get().use(exchange);
        } else {
            connect(exchange);
        }
    }

    @Override
    public void check(String address, Consumer<ListenState> result) {
        open(address, new ChannelInboundHandlerAdapter()).addListener((ChannelFuture done) -> {
            done.channel().close();
            result.accept(stateOf(done));
        });
    }

    private Optional<DirectConnection> takeIdle(DirectCall call) {
        Deque<DirectConnection> idle = idleByAddress.getOrDefault(call.address(), new ArrayDeque<>());
        long now = timers.nanoTime();
        // Another upstream may have taken the address since: the connection still leads to the former one.
        List<DirectConnection> unusable = idle.stream()
                .filter(kept -> !kept.isTo(call.upstream()) || !kept.isFresh(now))
                .toList();
        idle.removeAll(unusable);
        unusable.forEach(DirectConnection::close);
        // The most recently used connection is the least likely to have been closed by the upstream.
        Iterator<DirectConnection> newestFirst = idle.descendingIterator();
        while (newestFirst.hasNext()) {
            DirectConnection kept = newestFirst.next();
            if (kept.mayCarry(call)) {
                newestFirst.remove();
                return Optional.of(kept);
            }
        }
        return Optional.empty();
    }

    private void connect(DirectExchange exchange) {
        DirectConnection connection = new DirectConnection(exchange.call().address(), idlePool, exceededBounds);
        connection.decoder().countIn(memory);
        long startedAt = timers.nanoTime();
        open(exchange.call().address(), new Initializer(connection)).addListener((ChannelFuture done) -> {
            boolean late = done.isSuccess() && timers.nanoTime() - startedAt > LATE_CONNECT_NANOS;
            if (late) {
                runAfterNextReads(() -> onConnected(exchange, connection, done));
            } else {
                onConnected(exchange, connection, done);
            }
        });
    }

    private ChannelFuture open(String address, ChannelHandler handler) {
        connects++;
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.RECVBUF_ALLOCATOR, ONE_READ_IN_A_TURN)
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

    private static void onConnected(DirectExchange exchange, DirectConnection connection, ChannelFuture done) {
        if (!done.isSuccess() || !done.channel().isActive()) {
            exchange.failWithConnection("connect-failed");
        } else if (exchange.hasEnded()) {
            connection.close();
        } else {
            exchange.onConnected();
            connection.use(exchange);
        }
    }

    private void sweep() {
        long now = timers.nanoTime();
        idleByAddress.forEach((address, kept) -> {
            // The limit falls when other nodes join.
            int max = idleLimit.maxIdle(address);
            while (!kept.isEmpty() && (kept.size() > max || !kept.peekFirst().isFresh(now))) {
                kept.pollFirst().close();
            }
        });
        idleByAddress.values().removeIf(Deque::isEmpty);
        if (!idleByAddress.isEmpty()) {
            sweepTask.schedule(SWEEP_INTERVAL_NANOS);
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
            channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
        }
    }

    /** Keeps the idle connections of this client. */
    private final class IdlePool implements DirectConnection.Pool {
        @Override
        public void idle(DirectConnection connection) {
            Deque<DirectConnection> kept = idleByAddress.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
            if (kept.size() >= idleLimit.maxIdle(connection.address()) && !evict(kept)) {
                connection.close();
                return;
            }
            connection.idleSince(timers.nanoTime());
            kept.addLast(connection);
            sweepTask.schedule(SWEEP_INTERVAL_NANOS);
        }

        /** Closes the oldest connection that the next call may not follow on; returns whether there was one. */
        private static boolean evict(Deque<DirectConnection> kept) {
            Optional<DirectConnection> evicted =
                    kept.stream().filter(DirectConnection::needsOtherTarget).findFirst();
            evicted.ifPresent(connection -> {
                kept.remove(connection);
                connection.close();
            });
            return evicted.isPresent();
        }

        @Override
        public void closed(DirectConnection connection) {
            Deque<DirectConnection> kept = idleByAddress.get(connection.address());
            if (kept != null) {
                kept.remove(connection);
            }
        }

        @Override
        public boolean mayBeStale(DirectExchange exchange) {
            return timers.nanoTime() - exchange.sentAt() < STALE_DETECTION_NANOS;
        }

        @Override
        public void resend(DirectExchange exchange) {
            if (mayBeStale(exchange)) {
                connect(exchange);
            } else {
                exchange.failWithConnection("connection-closed");
            }
        }
    }
}
