package org.copperspindle.quarantine;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Suspicions that a node sends to another node.
 *
 * @param suspicions one for each request
 */
public record SuspicionMessage(List<Suspicion> suspicions) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<SuspicionMessage> CODEC =
            MessageCodec.of(223, SuspicionMessage.class, SuspicionMessage::write, SuspicionMessage::read);

    /** Copies the list. */
    public SuspicionMessage {
        suspicions = List.copyOf(suspicions);
    }

    private void write(FieldWriter out) {
        out.put(1, suspicions.stream().map(Suspicion::encode).toList());
    }

    private static SuspicionMessage read(FieldReader in) {
        return new SuspicionMessage(
                in.getList(1).stream().map(Suspicion::decode).toList());
    }
}
