package org.copperspindle.origin;

import java.util.Optional;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Answer to a query for the origin of a stream.
 *
 * @param query number of the query at the asking node
 * @param view  what the answering node knows
 */
public record OriginAnswerMessage(long query, OriginView view) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<OriginAnswerMessage> CODEC =
            MessageCodec.of(253, OriginAnswerMessage.class, OriginAnswerMessage::write, OriginAnswerMessage::read);

    private void write(FieldWriter out) {
        out.put(1, query)
                .put(2, view.informed())
                .putStrings(
                        3, view.versions().stream().map(SoftwareVersion::text).toList());
        view.origin().ifPresent(origin -> out.put(4, origin.software().text()).put(5, origin.order()));
    }

    private static OriginAnswerMessage read(FieldReader in) {
        Optional<StreamOrigin> origin =
                in.findString(4).map(software -> new StreamOrigin(SoftwareVersion.of(software), in.getLong(5, 0)));
        OriginView view = new OriginView(
                origin, in.getStrings(3).stream().map(SoftwareVersion::of).toList(), in.getBoolean(2));
        return new OriginAnswerMessage(in.getLong(1, 0), view);
    }
}
