package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * HTTP client of an agent towards its one upstream.
 */
public final class UpstreamClient implements AutoCloseable {

    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    private final InetSocketAddress address;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    /**
     * Creates a client.
     *
     * @param address the upstream
     */
    public UpstreamClient(InetSocketAddress address) {
        this.address = address;
    }

    /**
     * Starts a call.
     *
     * @param call     what to send
     * @param listener hears the response
     * @return a handle that aborts the call by closing its connection
     */
    public Runnable call(UpstreamCall call, UpstreamResponseListener listener) {
        ResponseHandler handler = new ResponseHandler(listener);
        Bootstrap bootstrap = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), handler);
                    }
                });
        ChannelFuture connecting = bootstrap.connect(address);
        connecting.addListener(done -> {
            if (done.isSuccess()) {
                handler.sent = true;
                connecting.channel().writeAndFlush(request(call));
            } else {
                handler.fail("connect: " + done.cause().getMessage());
            }
        });
        Channel channel = connecting.channel();
        return channel::close;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private DefaultFullHttpRequest request(UpstreamCall call) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, call.path(), Unpooled.wrappedBuffer(call.body()));
        request.headers()
                .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort())
                .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
                .set(HttpHeaderNames.CONTENT_LENGTH, call.body().length)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
                .set("X-Request-Id", call.requestId())
                .set("Idempotency-Key", call.attemptId());
        return request;
    }

    /** Passes one response on. Ends once, whatever the connection does. */
    private static final class ResponseHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final UpstreamResponseListener listener;
        private volatile boolean sent;
        private boolean ended;

        private ResponseHandler(UpstreamResponseListener listener) {
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, HttpObject part) {
            if (part.decoderResult().isFailure()) {
                fail("malformed response");
                ctx.close();
                return;
            }
            if (part instanceof HttpResponse head) {
                String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
                listener.onHead(head.status().code(), type);
            }
            if (part instanceof HttpContent content && content.content().isReadable()) {
                byte[] data = new byte[content.content().readableBytes()];
                content.content().readBytes(data);
                listener.onData(data);
            }
            if (part instanceof LastHttpContent && !ended) {
                ended = true;
                listener.onEnd();
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail("connection closed before the response was whole");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(cause.toString());
            ctx.close();
        }

        private void fail(String reason) {
            if (!ended) {
                ended = true;
                listener.onFailure(sent, reason);
            }
        }
    }
}
