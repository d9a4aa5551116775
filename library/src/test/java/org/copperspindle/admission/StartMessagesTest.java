package org.copperspindle.admission;

import java.util.List;

import org.copperspindle.batch.PoolLoadMessage;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class StartMessagesTest {

    /** A field that is written and read under different numbers would start or refuse the wrong requests. */
    @Test
    void messagesAreReadAsWritten() throws MalformedFrameException {
        StartRequestMessage request =
                new StartRequestMessage(1L << 60, "note", "k", List.of(0, 300, 10_000), 5, 1200, 9000, true);
        StartResponseMessage response = new StartResponseMessage(1L << 60, StartResponseMessage.REFUSE, 2500);
        StartCancelMessage cancel = new StartCancelMessage(1L << 60);
        assertThat(StartRequestMessage.CODEC.decode(StartRequestMessage.CODEC.encode(request)))
                .isEqualTo(request);
        assertThat(request.isValid()).isTrue();
        assertThat(StartResponseMessage.CODEC.decode(StartResponseMessage.CODEC.encode(response)))
                .isEqualTo(response);
        assertThat(StartCancelMessage.CODEC.decode(StartCancelMessage.CODEC.encode(cancel)))
                .isEqualTo(cancel);
    }

    /** A response without its fields must not start anything, nor a request without them take a place. */
    @Test
    void emptyMessagesAreInvalid() throws MalformedFrameException {
        byte[] request = empty(240);
        byte[] response = empty(241);
        assertThat(StartRequestMessage.CODEC.decode(request).isValid()).isFalse();
        assertThat(StartResponseMessage.CODEC.decode(response).isValid()).isFalse();
    }

    /** Nodes of an older version neither send nor expect the announcement of a shortage. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void loadsOfOlderNodesReadAsNotShort(boolean isShort) throws MalformedFrameException {
        PoolLoadMessage load = new PoolLoadMessage("s", 500, 100, 3, isShort);
        assertThat(PoolLoadMessage.CODEC.decode(PoolLoadMessage.CODEC.encode(load)))
                .isEqualTo(load);
        MessageCodec<OlderLoad> older =
                MessageCodec.of(235, OlderLoad.class, OlderLoad::write, in -> new OlderLoad(in.getString(1)));
        assertThat(PoolLoadMessage.CODEC
                        .decode(older.encode(new OlderLoad("s")))
                        .isShort())
                .isFalse();
        assertThat(older.decode(PoolLoadMessage.CODEC.encode(load)).pool()).isEqualTo("s");
    }

    private static byte[] empty(int type) {
        return MessageCodec.of(type, Empty.class, (message, out) -> {}, (FieldReader in) -> new Empty())
                .encode(new Empty());
    }

    private record Empty() implements WireMessage {}

    private record OlderLoad(String pool) implements WireMessage {
        private void write(FieldWriter out) {
            out.put(1, pool).put(2, 500L).put(3, 100L).put(4, 3L);
        }
    }
}
