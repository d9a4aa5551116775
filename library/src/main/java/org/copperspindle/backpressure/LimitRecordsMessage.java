package org.copperspindle.backpressure;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Limits of upstreams, sent from one node to another.
 *
 * @param records one record for each upstream
 */
public record LimitRecordsMessage(List<LimitRecord> records) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LimitRecordsMessage> CODEC =
            MessageCodec.of(227, LimitRecordsMessage.class, LimitRecordsMessage::write, LimitRecordsMessage::read);

    /** Copies the list. */
    public LimitRecordsMessage {
        records = List.copyOf(records);
    }

    private void write(FieldWriter out) {
        out.put(1, records.stream().map(LimitRecord::encode).toList());
    }

    private static LimitRecordsMessage read(FieldReader in) {
        return new LimitRecordsMessage(
                in.getList(1).stream().map(LimitRecord::decode).toList());
    }
}
