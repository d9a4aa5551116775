package org.copperspindle.edition;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The leader says what was the newest when it was asked. A node that holds both may serve for the length of a lease, counted
 * from when it asked.
 *
 * @param sequence number of the question
 * @param version  newest version, 0 if none was accepted yet
 * @param revision revision of the evacuations, 0 before the first
 */
public record EditionLeaseMessage(long sequence, long version, long revision) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EditionLeaseMessage> CODEC =
            MessageCodec.of(212, EditionLeaseMessage.class, EditionLeaseMessage::write, EditionLeaseMessage::read);

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, version).put(3, revision);
    }

    private static EditionLeaseMessage read(FieldReader in) {
        return new EditionLeaseMessage(in.getLong(1, 0), in.getLong(2, 0), in.getLong(3, 0));
    }
}
