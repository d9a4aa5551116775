package org.copperspindle.http;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * One request and its answer. Answering is possible from any thread.
 */
public final class HttpExchange {

    private final ChannelHandlerContext context;
    private final String method;
    private final QueryStringDecoder uri;
    private final Map<String, String> headers;
    private final byte[] body;
    private final boolean keepAlive;
    private volatile Runnable closed = () -> {};

    HttpExchange(ChannelHandlerContext context, FullHttpRequest request) {
        this.context = context;
        this.method = request.method().name();
        this.uri = new QueryStringDecoder(request.uri());
        this.headers = new java.util.TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        request.headers().forEach(h -> headers.putIfAbsent(h.getKey(), h.getValue()));
        this.body = new byte[request.content().readableBytes()];
        request.content().getBytes(request.content().readerIndex(), body);
        this.keepAlive = HttpUtil.isKeepAlive(request);
    }

    /**
     * Returns the method.
     *
     * @return for example {@code POST}
     */
    public String method() {
        return method;
    }

    /**
     * Returns the path without the query.
     *
     * @return the decoded path
     */
    public String path() {
        return uri.path();
    }

    /**
     * Finds a query parameter.
     *
     * @param name its name
     * @return its first value
     */
    public Optional<String> parameter(String name) {
        return Optional.ofNullable(uri.parameters().get(name)).map(values -> values.get(0));
    }

    /**
     * Finds a header field.
     *
     * @param name its name, in any case
     * @return its first value
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Returns the whole body.
     *
     * @return its bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Asks to be told when the connection ends before the answer does.
     *
     * @param task run on a network thread
     */
    public void onClosed(Runnable task) {
        closed = task;
    }

    /**
     * Sends a whole answer.
     *
     * @param status      HTTP status
     * @param contentType content type
     * @param fields      further header fields
     * @param answer      body
     */
    public void respond(int status, String contentType, Map<String, String> fields, byte[] answer) {
        closed = () -> {};
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(answer));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.length);
        fields.forEach((name, value) -> response.headers().set(name, value));
        if (keepAlive) {
            context.writeAndFlush(response);
            return;
        }
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /**
     * Starts an answer in pieces.
     *
     * @param contentType content type
     * @param fields      further header fields
     */
    public void start(String contentType, Map<String, String> fields) {
        DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
        fields.forEach((name, value) -> response.headers().set(name, value));
        context.writeAndFlush(response);
    }

    /**
     * Sends a piece of a started answer.
     *
     * @param text the piece
     */
    public void write(String text) {
        context.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8))));
    }

    /** Ends a started answer. */
    public void finish() {
        closed = () -> {};
        context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener(done -> {
            if (!keepAlive) {
                context.close();
            }
        });
    }

    void connectionClosed() {
        closed.run();
    }
}
