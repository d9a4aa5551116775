package org.copperspindle.direct;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;

/**
 * Responses that are not written as HTTP prescribes, although their parts can be guessed.
 */
class MalformedResponseTest {

    private static final String STATUS_LINE = "HTTP/1.1 200 OK";
    private static final String REST = "\r\nContent-Length: 5\r\n\r\nwhole";
    private static final String CHUNKED = STATUS_LINE + "\r\nTransfer-Encoding: chunked\r\n\r\n";

    static Stream<String> statusLines() {
        return Stream.of(
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 -20 OK",
                "HTTP/1.1 200OK",
                "HTTP/1.1 OK",
                "HTTP/1.1",
                "HTTP/1.10 200 OK",
                "HTTP/2.0 200 OK",
                "HTTP/11 200 OK",
                "http/1.1 200 OK",
                "ICY/1.0 200 OK",
                "XHTTP/1.1 200 OK",
                "\0HTTP/1.1 200 OK",
                "\0\r\nHTTP/1.1 200 OK",
                "HTTP/1.1 200 O\0K",
                "HTTP/1.1 200 O\u0001K",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 200 O\u007fK");
    }

    static Stream<String> fieldLines() {
        return Stream.of(
                "X-A b: v",
                "X-A : v",
                "X-A\t: v",
                "Content-Length x: 5",
                "Content-Length : 5",
                "Transfer-Encoding : identity",
                "X-\u0001A: v",
                "X-\0A: v",
                "X-\u007fA: v",
                "X-\u00e9: v",
                "X-(A): v",
                "X-A\rB: v",
                ": v",
                "no colon",
                "nocolon",
                " X-A: v",
                "X-A: a\0b",
                "X-A: a\u0001b",
                "X-A: a\u007fb",
                "X-A: a\rb");
    }

    static Stream<String> chunkLines() {
        return Stream.of("5 5", "5x", "5\u0001", " 5", "+5", "-5", "0x5", "", ";a=b", "5;a=\0", "5\r;a", "fffffffff");
    }

    /** Guards against a status line that is passed on as a status though it states none. */
    @ParameterizedTest
    @MethodSource("statusLines")
    void malformedStatusLineIsNoResponse(String line) {
        assertMalformed(line + REST);
    }

    /** Guards against a field that is passed on, or read as another one, though its line has no valid name or value. */
    @ParameterizedTest
    @MethodSource("fieldLines")
    void malformedFieldIsNoResponse(String line) {
        assertMalformed(STATUS_LINE + "\r\n" + line + REST);
    }

    /** Guards against such a line where another field precedes it. */
    @ParameterizedTest
    @MethodSource("fieldLines")
    void malformedLaterFieldIsNoResponse(String line) {
        // After another field, a line that begins with a space continues it.
        if (!line.startsWith(" ")) {
            assertMalformed(STATUS_LINE + "\r\nX-First: v\r\n" + line + REST);
        }
    }

    /** Guards against a malformed interim response that is skipped like a valid one. */
    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 1000 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\nX A: b\r\n\r\n"})
    void malformedInterimResponseFailsTheCall(String interim) {
        assertMalformed(interim + STATUS_LINE + REST);
    }

    /** Guards against a body that is cut or joined by a guess at the size of a chunk. */
    @ParameterizedTest
    @MethodSource("chunkLines")
    void malformedChunkLineEndsTheResponse(String line) {
        assertThat(read(CHUNKED + line + "\r\nwhole\r\n0\r\n\r\n")).contains("malformed");
        assertThat(read(CHUNKED + "1\r\nx\r\n" + line + "\r\nwhole\r\n0\r\n\r\n"))
                .contains("malformed");
    }

    /** Guards against a body that is taken for complete though what follows its last chunk are no fields. */
    @ParameterizedTest
    @ValueSource(strings = {"X A: b", "X-A : b", "no colon", "nocolon", "X-\u0001A: v", "HTTP/1.1 200 OK", " a: b"})
    void malformedTrailerEndsTheResponse(String line) {
        assertThat(read(CHUNKED + "5\r\nwhole\r\n0\r\n" + line + "\r\n\r\n")).contains("malformed");
    }

    /** What is unusual but valid is a response. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 599 A\tB\u00e9\r\nContent-Length: 5\r\n\r\nwhole",
                "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nX-!#$%&'*+.^_`|~9: \t a \u00e9 b \t\r\nX-Empty:\r\nContent-Length:5\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nX-A: a\r\n b\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n02;a=\"b\";c\r\nle\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5 \t;a\r\nwhole\r\n000\r\nX-A: b\r\n\r\n"
            })
    void unusualResponseIsRead(String response) {
        assertThat(read(response)).endsWith("whole end").doesNotContain("malformed");
    }

    private static void assertMalformed(String response) {
        assertThat(read(response)).startsWith("malformed");
    }

    /** Returns what is read of a response, which must not depend on how its bytes arrive. */
    private static String read(String response) {
        String together = read(response, response.length());
        assertThat(read(response, 1)).isEqualTo(together);
        assertThat(read(response, 7)).isEqualTo(together);
        return together;
    }

    private static String read(String response, int part) {
        ResponseDecoder decoder = new ResponseDecoder(new Closing());
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        decoder.expectResponse("GET");
        byte[] bytes = response.getBytes(ISO_8859_1);
        for (int at = 0; at < bytes.length; at += part) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, at, Math.min(part, bytes.length - at)));
        }
        List<String> seen = new ArrayList<>();
        for (HttpObject each = channel.readInbound(); each != null; each = channel.readInbound()) {
            seen.add(describe(each));
            if (each.decoderResult().isFailure()) {
                break;
            }
        }
        channel.finishAndReleaseAll();
        return seen.stream().collect(Collectors.joining());
    }

    private static String describe(HttpObject part) {
        if (part.decoderResult().isFailure()) {
            return "malformed";
        }
        if (part instanceof HttpResponse head) {
            return head.status().code() + " ";
        }
        String data = ((HttpContent) part).content().toString(ISO_8859_1);
        return part instanceof LastHttpContent ? data + " end" : data;
    }

    /** Ignores what the decoder reports beside its parts. */
    private static final class Closing implements ResponseDecoder.Receiver {
        @Override
        public void onExceeded(ResponseBound bound, long limit) {}

        @Override
        public void onStrayBytes(int bytes) {}
    }
}
