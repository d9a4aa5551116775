package org.copperspindle.origin;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Origins of streams that a node stores at another node.
 *
 * @param records one for each stream
 */
public record OriginRecordsMessage(List<OriginRecord> records) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OriginRecordsMessage> CODEC =
            MessageCodec.of(251, OriginRecordsMessage.class, OriginRecordsMessage::write, OriginRecordsMessage::read);

    /** Copies the list. */
    public OriginRecordsMessage {
        records = List.copyOf(records);
    }

    private void write(FieldWriter out) {
        out.put(1, records.stream().map(OriginRecord::encode).toList());
    }

    private static OriginRecordsMessage read(FieldReader in) {
        return new OriginRecordsMessage(
                in.getList(1).stream().map(OriginRecord::decode).toList());
    }
}
