package org.copperspindle.http;

import java.util.Random;

import io.netty.buffer.Unpooled;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BodyBufferTest {

    /** Guards against bytes that are lost or mixed up between segments, and against more memory than was announced. */
    @ParameterizedTest
    @CsvSource({"1, 100", "1000, 1000", "1024, 300", "70000, 9", "200000, 8192", "524288, 65536"})
    void partsAreOneBody(int size, int part) {
        byte[] expected = new byte[size];
        new Random(1).nextBytes(expected);
        BodyBuffer body = new BodyBuffer(size);
        for (int at = 0; at < size; at += part) {
            int bytes = Math.min(part, size - at);
            int announced = body.capacityFor(bytes);
            body.append(Unpooled.wrappedBuffer(expected, at, bytes));
            assertThat(body.capacity()).isEqualTo(announced).isLessThanOrEqualTo(size);
        }
        assertThat(body.size()).isEqualTo(size);
        assertThat(body.take()).isEqualTo(expected);
        assertThat(body.capacity()).isZero();
    }

    /** Guards against a copy of a body whose length was known. */
    @ParameterizedTest
    @CsvSource({"1", "65536", "524288"})
    void bodyOfKnownLengthIsAllocatedOnce(int size) {
        BodyBuffer body = new BodyBuffer(size);
        body.allocate(size);
        assertThat(body.capacityFor(size)).isEqualTo(size);
        body.append(Unpooled.wrappedBuffer(new byte[size]));
        assertThat(body.take()).hasSize(size);
    }
}
