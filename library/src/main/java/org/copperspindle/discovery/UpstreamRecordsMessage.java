package org.copperspindle.discovery;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Upstream announcements that a node forwards to another node.
 *
 * @param records records in the order in which they were received
 */
public record UpstreamRecordsMessage(List<UpstreamRecord> records) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<UpstreamRecordsMessage> CODEC = MessageCodec.of(
            221, UpstreamRecordsMessage.class, UpstreamRecordsMessage::write, UpstreamRecordsMessage::read);

    /** Copies the list. */
    public UpstreamRecordsMessage {
        records = List.copyOf(records);
    }

    private void write(FieldWriter out) {
        out.put(1, records.stream().map(UpstreamRecord::encode).toList());
    }

    private static UpstreamRecordsMessage read(FieldReader in) {
        return new UpstreamRecordsMessage(
                in.getList(1).stream().map(UpstreamRecord::decode).toList());
    }
}
