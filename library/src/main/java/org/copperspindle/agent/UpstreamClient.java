package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.copperspindle.fleet.EngineRequest;

/**
 * HTTP client of an agent for its one upstream, with one network thread. Repeatable calls share a bounded number of
 * kept connections. An unrepeatable call always gets a new connection: on a kept one that the upstream has just closed,
 * a lost call could not be told from one that ran.
 */
public final class UpstreamClient implements AutoCloseable {

    /** Failure reason of a call for which no connection could be opened. */
    static final String CONNECT_FAILED = "connect-failed";

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int IDLE_SECONDS = 10;

    private final InetSocketAddress address;
    private final int maxIdle;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("upstream-client", true), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
    private final Owner owner = new Owner();

    /**
     * Creates a client.
     *
     * @param address the upstream
     * @param maxIdle most idle connections that are kept open for later calls
     */
    public UpstreamClient(InetSocketAddress address, int maxIdle) {
        this.address = address;
        this.maxIdle = maxIdle;
    }

    /**
     * Starts a call. Callable from any thread.
     *
     * @param call     what to send
     * @param listener receives the response
     * @return a handle that aborts the call for a given reason
     */
    public Consumer<String> call(UpstreamCall call, UpstreamResponseListener listener) {
        UpstreamExchange exchange = new UpstreamExchange(call, listener);
        loop.execute(() -> start(exchange));
        return reason -> loop.execute(() -> exchange.abort(reason));
    }

    /**
     * Opens a connection and closes it again without sending anything.
     *
     * @param reached receives, on the network thread, whether the connection was opened
     */
    void connectOnly(Consumer<Boolean> reached) {
        UpstreamConnection connection = new UpstreamConnection(owner);
        bootstrap(connection).connect(address).addListener((ChannelFuture done) -> {
            reached.accept(done.isSuccess());
            done.channel().close();
        });
    }

    /**
     * Returns the network thread, for tasks that are retried until the ring accepts them.
     *
     * @return its event loop
     */
    ScheduledExecutorService scheduler() {
        return loop;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private void start(UpstreamExchange exchange) {
        if (exchange.mayUsePooled()) {
            // The connection used last is the least likely to have been closed by the upstream.
            for (UpstreamConnection kept = idle.pollLast(); kept != null; kept = idle.pollLast()) {
                if (kept.isOpen()) {
                    kept.use(exchange, request(exchange.call()));
                    return;
                }
            }
        }
        connect(exchange);
    }

    private void connect(UpstreamExchange exchange) {
        UpstreamConnection connection = new UpstreamConnection(owner);
        bootstrap(connection).connect(address).addListener((ChannelFuture done) -> {
            if (!done.isSuccess()) {
                exchange.fail(CONNECT_FAILED);
            } else if (exchange.aborted()) {
                exchange.fail("aborted");
                connection.close();
            } else {
                connection.use(exchange, request(exchange.call()));
            }
        });
    }

    private Bootstrap bootstrap(UpstreamConnection connection) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpRequestEncoder(), connection.decoder(), connection);
                    }
                });
    }

    private FullHttpRequest request(UpstreamCall call) {
        HttpMethod method = call.body().length == 0 ? HttpMethod.GET : HttpMethod.POST;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, method, call.path(), Unpooled.wrappedBuffer(call.body()));
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                .set("X-Request-Id", call.requestId())
                .set("Idempotency-Key", call.attemptId());
        if (call.fencingNumber() > 0) {
            request.headers().set(EngineRequest.FENCING_HEADER, call.fencingNumber());
        }
        if (!call.repeatable()) {
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        if (call.body().length > 0) {
            request.headers()
                    .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                    .set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
        }
        return request;
    }

    /** Manages the idle connections. */
    private final class Owner implements UpstreamConnection.Owner {

        @Override
        public void idle(UpstreamConnection connection) {
            if (idle.size() >= maxIdle) {
                connection.close();
                return;
            }
            idle.addLast(connection);
            loop.schedule(() -> expire(connection), IDLE_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void closed(UpstreamConnection connection) {
            idle.remove(connection);
        }

        @Override
        public void resend(UpstreamExchange exchange) {
            connect(exchange);
        }

        private void expire(UpstreamConnection connection) {
            if (idle.remove(connection)) {
                connection.close();
            }
        }
    }
}
