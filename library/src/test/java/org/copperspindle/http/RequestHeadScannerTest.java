package org.copperspindle.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class RequestHeadScannerTest {

    private static final HttpLimits LIMITS = HttpLimits.DEFAULT;
    private static final String LINE = "GET / HTTP/1.1\r\n";

    /** Guards against an end of a head that is missed, or seen too early, when the bytes arrive in pieces. */
    @ParameterizedTest
    @CsvSource({
        "'GET / HTTP/1.1\r\nHost: a\r\n\r\n', 2",
        "'GET / HTTP/1.1\r\n\r\n', 1",
        "'\r\n\r\nGET / HTTP/1.1\r\na:\r\nb:\r\n\r\n', 3",
        "'GET / HTTP/1.1\nHost: a\n\n', 2",
        "'GET / HTTP/1.1\r\na: 1,2,3\r\nb:,\r\n\r\n', 6"
    })
    void endIsFoundInAnyPieces(String head, int items) {
        for (int piece = 1; piece <= head.length(); piece++) {
            RequestHeadScanner scanner = new RequestHeadScanner(LIMITS);
            ByteBuf input = Unpooled.buffer();
            boolean complete = false;
            for (int at = 0; at < head.length(); at += piece) {
                assertThat(complete).isFalse();
                String next = head.substring(at, Math.min(head.length(), at + piece));
                input.writeCharSequence(next, StandardCharsets.US_ASCII);
                complete = scanner.scan(input);
            }
            assertThat(complete).isTrue();
            assertThat(scanner.items()).isEqualTo(items);
            assertThat(scanner.scannedBytes()).isEqualTo(head.length());
        }
    }

    /** Guards against bytes of the next request that are taken for the head. */
    @ParameterizedTest
    @ValueSource(strings = {"body", "\r\n", "GET /2 HTTP/1.1\r\n\r\n"})
    void whatFollowsIsNotPartOfTheHead(String next) {
        RequestHeadScanner scanner = new RequestHeadScanner(LIMITS);
        String head = LINE + "Host: a\r\n\r\n";
        assertThat(scanner.scan(Unpooled.copiedBuffer(head + next, StandardCharsets.US_ASCII)))
                .isTrue();
        assertThat(scanner.scannedBytes()).isEqualTo(head.length());
    }

    /** Guards against an unfinished head that is kept beyond the limits, and against limits below the stated ones. */
    @ParameterizedTest
    @CsvSource({"4096, 0, true", "4098, 0, false", "16, 16384, true", "16, 16386, false"})
    void unfinishedHeadIsBounded(int lineBytes, int fieldBytes, boolean allowed) {
        RequestHeadScanner scanner = new RequestHeadScanner(LIMITS);
        String head = "a".repeat(lineBytes) + (fieldBytes == 0 ? "" : "\r\n" + "b".repeat(fieldBytes));
        ByteBuf input = Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII);
        if (allowed) {
            assertThat(scanner.scan(input)).isFalse();
            return;
        }
        Class<? extends DecoderException> expected =
                fieldBytes == 0 ? TooLongHttpLineException.class : TooLongHttpHeaderException.class;
        assertThatThrownBy(() -> scanner.scan(input)).isInstanceOf(expected);
    }

    /** Guards against folded lines, which servers read in different ways. */
    @ParameterizedTest
    @ValueSource(strings = {LINE + " a: b\r\n\r\n", LINE + "a: b\r\n\tc\r\n\r\n", " " + LINE})
    void foldedLineIsRefused(String head) {
        RequestHeadScanner scanner = new RequestHeadScanner(LIMITS);
        ByteBuf input = Unpooled.copiedBuffer(head, StandardCharsets.US_ASCII);
        assertThatThrownBy(() -> scanner.scan(input)).isInstanceOf(CorruptedFrameException.class);
    }
}
