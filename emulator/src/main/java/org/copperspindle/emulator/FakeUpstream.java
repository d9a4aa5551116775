package org.copperspindle.emulator;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One fake upstream on a loopback port. Takes a fixed time per call and writes each execution into the ledger.
 */
public final class FakeUpstream implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_BODY = 8 << 20;

    private final FakeKind kind;
    private final Duration service;
    private final ExecutionLedger ledger;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Channel channel;

    /**
     * Starts a fake on a free loopback port.
     *
     * @param kind    its interface
     * @param service time that one call takes
     * @param ledger  where executions are written
     */
    public FakeUpstream(FakeKind kind, Duration service, ExecutionLedger ledger) {
        this(new InetSocketAddress("127.0.0.1", 0), kind, service, ledger);
    }

    /**
     * Starts a fake.
     *
     * @param address where it listens
     * @param kind    its interface
     * @param service time that one call takes
     * @param ledger  where executions are written
     */
    public FakeUpstream(InetSocketAddress address, FakeKind kind, Duration service, ExecutionLedger ledger) {
        this.kind = kind;
        this.service = service;
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
                .bind(address)
                .syncUninterruptibly()
                .channel();
    }

    /**
     * Returns where it listens.
     *
     * @return the bound loopback address
     */
    public InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private ObjectNode answer(JsonNode request) {
        ObjectNode answer = JSON.createObjectNode();
        switch (kind) {
            case ENCODER ->
                answer.putArray("data")
                        .addObject()
                        .putArray("embedding")
                        .add(0.1)
                        .add(0.2);
            case RETRIEVER -> {
                ArrayNode documents = answer.putArray("documents");
                documents.add("document a").add("document b").add("document c");
            }
            case RERANKER -> {
                ArrayNode results = answer.putArray("results");
                results.addObject().put("index", 1);
                results.addObject().put("index", 0);
            }
            case ENGINE -> answer.putArray("choices").addObject().put("text", completion(request));
            case SERVICE -> answer.put("done", true).set("request", request);
            default -> throw new IllegalStateException("no answer for " + kind);
        }
        return answer;
    }

    /** Repeats the end of the prompt, so that a foreign answer can be told from the right one. */
    private static String completion(JsonNode request) {
        String prompt = request.path("prompt").asText();
        return "echo: " + prompt.substring(prompt.lastIndexOf('\n') + 1);
    }

    /** Answers the calls of one connection. */
    private final class CallHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) throws IOException {
            byte[] body = new byte[request.content().readableBytes()];
            request.content().readBytes(body);
            JsonNode json = JSON.readTree(body);
            if (kind == FakeKind.SERVICE) {
                ledger.ran(json.path("token").asText());
            }
            ctx.executor().schedule(() -> respond(ctx, json), service.toNanos(), TimeUnit.NANOSECONDS);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }

        private void respond(ChannelHandlerContext ctx, JsonNode request) {
            if (kind == FakeKind.ENGINE && request.path("stream").asBoolean()) {
                stream(ctx, completion(request));
                return;
            }
            byte[] bytes = answer(request).toString().getBytes(StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(bytes));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
            ctx.writeAndFlush(response);
        }

        private void stream(ChannelHandlerContext ctx, String text) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            ctx.write(head);
            for (String word : text.split("(?<= )")) {
                ObjectNode chunk = JSON.createObjectNode();
                chunk.putArray("choices").addObject().put("text", word);
                ctx.write(content("data: " + chunk + "\n\n"));
            }
            ctx.write(content("data: [DONE]\n\n"));
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
        }

        private DefaultHttpContent content(String text) {
            return new DefaultHttpContent(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
        }
    }
}
