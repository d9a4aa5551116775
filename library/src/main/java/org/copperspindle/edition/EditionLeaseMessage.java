package org.copperspindle.edition;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The leader says which version was the newest when it was asked. A node that holds it may serve for the length of a
 * lease, counted from when it asked.
 *
 * @param sequence number of the question
 * @param version  newest version, 0 if none was accepted yet
 */
public record EditionLeaseMessage(long sequence, long version) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EditionLeaseMessage> CODEC =
            MessageCodec.of(212, EditionLeaseMessage.class, EditionLeaseMessage::write, EditionLeaseMessage::read);

    private void write(FieldWriter out) {
        out.put(1, sequence).put(2, version);
    }

    private static EditionLeaseMessage read(FieldReader in) {
        return new EditionLeaseMessage(in.getLong(1, 0), in.getLong(2, 0));
    }
}
