package org.copperspindle.gateway;

import java.util.List;
import java.util.stream.Stream;

import org.copperspindle.standby.DispatcherHeartbeatMessage;
import org.copperspindle.standby.TakeoverMessage;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

class StandbyMessagesTest {

    private final MessageRegistry registry = GatewayMessages.registry();

    /** A message that nodes do not register is ignored without a trace, so that no standby would ever take over. */
    @ParameterizedTest
    @MethodSource("messages")
    void nodesExchangeTheMessagesOfStandbys(WireMessage message) throws MalformedFrameException {
        assertThat(registry.decode(registry.encode(message))).contains(message);
    }

    private static Stream<WireMessage> messages() {
        return Stream.of(
                new DispatcherHeartbeatMessage(List.of("p", "q")),
                new TakeoverMessage("p", "127.0.0.1:1", 7, false),
                new TakeoverMessage("p", "127.0.0.1:1", 7, true));
    }
}
