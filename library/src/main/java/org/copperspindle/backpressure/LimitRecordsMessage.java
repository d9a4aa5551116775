package org.copperspindle.backpressure;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Limits of upstreams that a node tells another of.
 *
 * @param news one for each upstream
 */
public record LimitRecordsMessage(List<LimitRecord> news) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LimitRecordsMessage> CODEC =
            MessageCodec.of(227, LimitRecordsMessage.class, LimitRecordsMessage::write, LimitRecordsMessage::read);

    /** Copies the list. */
    public LimitRecordsMessage {
        news = List.copyOf(news);
    }

    private void write(FieldWriter out) {
        out.put(1, news.stream().map(LimitRecord::encode).toList());
    }

    private static LimitRecordsMessage read(FieldReader in) {
        return new LimitRecordsMessage(
                in.getList(1).stream().map(LimitRecord::decode).toList());
    }
}
