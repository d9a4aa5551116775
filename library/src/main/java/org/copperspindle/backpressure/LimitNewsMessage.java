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
public record LimitNewsMessage(List<LimitNews> news) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<LimitNewsMessage> CODEC =
            MessageCodec.of(227, LimitNewsMessage.class, LimitNewsMessage::write, LimitNewsMessage::read);

    /** Copies the list. */
    public LimitNewsMessage {
        news = List.copyOf(news);
    }

    private void write(FieldWriter out) {
        out.put(1, news.stream().map(LimitNews::encode).toList());
    }

    private static LimitNewsMessage read(FieldReader in) {
        return new LimitNewsMessage(
                in.getList(1).stream().map(LimitNews::decode).toList());
    }
}
