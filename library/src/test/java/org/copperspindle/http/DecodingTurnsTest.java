package org.copperspindle.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;
import org.copperspindle.memory.HeldMemories;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class DecodingTurnsTest {

    private static final String CHUNKED = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    private static final int CHUNKS = 10_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final HttpCounters counters = new HttpCounters();
    private final List<HttpExchange> handled = new ArrayList<>();
    private final AtomicInteger parts = new AtomicInteger();
    private HttpConnectionHandler connection;

    /**
     * Guards against a network thread that decodes everything that has arrived in one go and neither answers other nodes
     * nor ordinary callers meanwhile.
     */
    @Test
    void readDecodesABoundedNumberOfChunks() {
        connect();
        send(CHUNKED + "1\r\na\r\n".repeat(CHUNKS) + "0\r\n\r\n");
        assertThat(parts.get()).isBetween(1, DecodingTurns.CONNECTION_UNITS);
        assertThat(channel.config().isAutoRead()).as("reads on, undecoded").isFalse();
        for (int turn = 0; turn < CHUNKS && handled.isEmpty(); turn++) {
            channel.runPendingTasks();
        }
        assertThat(handled).hasSize(1);
        assertThat(handled.get(0).body()).hasSize(CHUNKS);
        assertThat(channel.config().isAutoRead()).isTrue();
    }

    /** Guards against requests behind each other that are all decoded and held before the first is answered. */
    @ParameterizedTest
    @ValueSource(ints = {9, 40, 400})
    void onlyAFewRequestsAreDecodedAhead(int requests) {
        connect();
        send("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requests));
        channel.runPendingTasks();
        assertThat(parts.get()).isLessThanOrEqualTo(9);
        for (int answered = 0; answered < requests; answered++) {
            assertThat(handled).hasSize(answered + 1);
            handled.get(answered).respond(ProblemDetails.notRun("x", 404, "x"));
            channel.runPendingTasks();
        }
        assertThat(counters.inProgress()).isZero();
    }

    /** Guards against a graceful stop that cuts off requests which have arrived and wait for their turn. */
    @Test
    void requestThatWaitsForItsTurnIsNotIdle() {
        connect(exchange -> {
            handled.add(exchange);
            exchange.respond(ProblemDetails.notRun("x", 404, "x"));
        });
        String head = "POST /x HTTP/1.1\r\nHost: a\r\n" + "a: b\r\n".repeat(DecodingTurns.CONNECTION_UNITS);
        send(head + "Content-Length: 0\r\n\r\n" + head + "Content-Length: 0\r\n\r\n");
        assertThat(handled).hasSize(1);
        connection.closeIfIdle();
        channel.runPendingTasks();
        assertThat(handled).hasSize(2);
    }

    private void connect() {
        connect(handled::add);
    }

    private void connect(HttpRequestHandler handler) {
        connection = new HttpConnectionHandler(
                HttpLimits.DEFAULT,
                counters,
                handler,
                HeldMemories.ofCallers(),
                new DecodingTurns(channel.eventLoop()),
                () -> false);
        channel.pipeline().addLast(connection.decoder(), new PartCounter(), connection);
        channel.pipeline().fireChannelActive();
    }

    private void send(String text) {
        // Without tasks, unlike writeInbound.
        channel.pipeline().fireChannelRead(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    /** Counts the parts with content, and the ends of requests. */
    private final class PartCounter extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object part) {
            if (part instanceof HttpContent) {
                parts.incrementAndGet();
            }
            ctx.fireChannelRead(ReferenceCountUtil.touch(part));
        }
    }
}
