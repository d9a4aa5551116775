package org.copperspindle.origin;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class OriginMessagesTest {

    private static final StreamKey KEY = StreamKey.of("pool-of-engines", "account", "b275a4d71aba1710");
    private static final SoftwareVersion VERSION = SoftwareVersion.of("v1.2");
    private static final StreamOrigin ORIGIN = new StreamOrigin(VERSION, 1);

    private final MessageRegistry registry = WireTransport.registry()
            .register(OriginRecordsMessage.CODEC)
            .register(OriginQueryMessage.CODEC)
            .register(OriginAnswerMessage.CODEC);

    static Stream<Arguments> messages() {
        OriginRecord stored = new OriginRecord(KEY, "pool-of-engines", ORIGIN);
        OriginView known = new OriginView(Optional.of(ORIGIN), List.of(VERSION, SoftwareVersion.of("v1.1")), true);
        OriginView unknown = new OriginView(Optional.empty(), List.of(SoftwareVersion.UNSTATED), false);
        return Stream.of(
                Arguments.of(new OriginRecordsMessage(List.of(stored)), 80),
                Arguments.of(new OriginQueryMessage(7, KEY, "pool-of-engines"), 60),
                Arguments.of(new OriginAnswerMessage(7, known), 40),
                Arguments.of(new OriginAnswerMessage(7, unknown), 20));
    }

    /** One is sent for each stream while two versions serve: a few bytes more are kilobytes a second in a large fleet. */
    @ParameterizedTest
    @MethodSource("messages")
    void messagesArriveAsSentAndAreSmall(WireMessage message, int mostBytes) throws Exception {
        byte[] bytes = registry.encode(message);
        assertThat(registry.decode(bytes)).contains(message);
        assertThat(bytes.length).isLessThanOrEqualTo(mostBytes);
    }
}
