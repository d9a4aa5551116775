package org.copperspindle.http;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * Listens for HTTP/1.1 requests.
 */
public final class HttpListener implements AutoCloseable {

    private static final int MAX_CHUNK_BYTES = 8192;

    private final EventLoopGroup group;
    private final Channel channel;

    /**
     * Binds and starts to listen.
     *
     * @param address address to bind; port 0 takes a free one
     * @param threads network threads
     * @param limits  bounds on requests
     * @param handler answers requests
     */
    public HttpListener(InetSocketAddress address, int threads, HttpLimits limits, HttpRequestHandler handler) {
        this.group = new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
        this.channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                        accepted.pipeline()
                                .addLast(new HttpServerCodec(
                                        limits.maxLineBytes(), limits.maxHeaderBytes(), MAX_CHUNK_BYTES))
                                .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
                                .addLast(new RequestHandler(handler));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns the bound address.
     *
     * @return with the port that was taken
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        channel.close().awaitUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Hands one connection's requests on. */
    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpRequestHandler handler;
        private HttpExchange current;

        private RequestHandler(HttpRequestHandler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            current = new HttpExchange(ctx, request);
            handler.handle(current);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            if (current != null) {
                current.connectionClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
