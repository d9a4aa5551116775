package org.copperspindle.emulator;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * One call at a fake: writes its answer, spoilt as the faults say.
 */
final class FakeCall {

    static final String LOAD_HEADER = "endpoint-load-metrics";

    /** States the load in figures; the standard name of the gateway's upstream dialect. */
    static final String FIGURES_HEADER = "Copperspindle-Load";

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String END_MARK = "data: [DONE]\n\n";

    private final ChannelHandlerContext ctx;
    private final JsonNode request;
    private final Execution execution;
    private final String completion;
    private String load = "";
    private Optional<String> figures = Optional.empty();

    FakeCall(ChannelHandlerContext ctx, JsonNode request, Execution execution, String completion) {
        this.ctx = ctx;
        this.request = request;
        this.execution = execution;
        this.completion = completion;
    }

    Execution execution() {
        return execution;
    }

    boolean open() {
        return ctx.channel().isActive();
    }

    boolean streams() {
        return execution.kind() == FakeKind.ENGINE && request.path("stream").asBoolean();
    }

    String[] words() {
        return FakeAnswers.words(completion);
    }

    void load(String report) {
        load = report;
    }

    void figures(Optional<String> statement) {
        figures = statement;
    }

    void onClose(Runnable action) {
        ctx.channel().closeFuture().addListener(closed -> action.run());
    }

    void refuse(int status) {
        byte[] bytes = "{\"error\":\"fault\"}".getBytes(StandardCharsets.UTF_8);
        ctx.writeAndFlush(whole(HttpResponseStatus.valueOf(status), bytes, bytes.length));
    }

    void answerWhole(ResponseFault fault) {
        byte[] bytes = FakeAnswers.whole(execution.kind(), request, completion)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        if (fault == ResponseFault.TRUNCATE || fault == ResponseFault.RESET_IN_THE_MIDDLE) {
            byte[] half = Arrays.copyOf(bytes, bytes.length / 2);
            ctx.writeAndFlush(whole(HttpResponseStatus.OK, half, bytes.length));
            cut(fault);
            return;
        }
        if (fault == ResponseFault.DOUBLE) {
            ctx.write(whole(HttpResponseStatus.OK, bytes, bytes.length));
        }
        ctx.writeAndFlush(whole(HttpResponseStatus.OK, bytes, bytes.length));
    }

    void startStream() {
        HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
        head.headers().set(HttpHeaderNames.CONTENT_TYPE, EVENT_STREAM);
        head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        addLoad(head);
        ctx.write(head);
    }

    void word(String word) {
        ctx.writeAndFlush(content("data: " + FakeAnswers.chunk(word) + "\n\n"));
    }

    void endStream(ResponseFault fault) {
        if (fault != ResponseFault.NO_END_MARK) {
            ctx.write(content(END_MARK));
        }
        if (fault == ResponseFault.DOUBLE) {
            for (String word : words()) {
                word(word);
            }
            ctx.write(content(END_MARK));
        }
        ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    void cut(ResponseFault fault) {
        if (fault == ResponseFault.RESET_IN_THE_MIDDLE) {
            ctx.channel().config().setOption(ChannelOption.SO_LINGER, 0);
        }
        ctx.close();
    }

    private DefaultFullHttpResponse whole(HttpResponseStatus status, byte[] bytes, int declared) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(bytes));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, declared);
        addLoad(response);
        return response;
    }

    private void addLoad(HttpResponse head) {
        if (!load.isEmpty()) {
            head.headers().set(LOAD_HEADER, load);
        }
        figures.ifPresent(statement -> head.headers().set(FIGURES_HEADER, statement));
    }

    private static DefaultHttpContent content(String text) {
        return new DefaultHttpContent(Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }
}
