package org.copperspindle.discovery;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Announcements that a node passes on to another.
 *
 * @param news in the order in which they were heard
 */
public record UpstreamNewsMessage(List<UpstreamNews> news) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<UpstreamNewsMessage> CODEC =
            MessageCodec.of(221, UpstreamNewsMessage.class, UpstreamNewsMessage::write, UpstreamNewsMessage::read);

    /** Copies the list. */
    public UpstreamNewsMessage {
        news = List.copyOf(news);
    }

    private void write(FieldWriter out) {
        out.put(1, news.stream().map(UpstreamNews::encode).toList());
    }

    private static UpstreamNewsMessage read(FieldReader in) {
        return new UpstreamNewsMessage(
                in.getList(1).stream().map(UpstreamNews::decode).toList());
    }
}
