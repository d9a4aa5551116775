package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Record of the end of one incarnation of an upstream, kept so that a late announcement of that incarnation is ignored.
 *
 * @param upstreamId  identity of the upstream
 * @param incarnation the incarnation that ended
 * @param sequence    sequence of its last announcement
 * @param left        whether it left deliberately; otherwise its lease expired, and the same incarnation may come back
 */
record UpstreamTombstone(String upstreamId, long incarnation, long sequence, boolean left) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<UpstreamTombstone> CODEC =
            MessageCodec.of(58, UpstreamTombstone.class, UpstreamTombstone::write, UpstreamTombstone::read);

    boolean rejects(UpstreamAnnouncement announcement) {
        if (announcement.incarnation() != incarnation) {
            return announcement.incarnation() < incarnation;
        }
        return left || announcement.sequence() < sequence;
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation).put(3, sequence).put(4, left);
    }

    private static UpstreamTombstone read(FieldReader in) {
        return new UpstreamTombstone(in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getBoolean(4));
    }
}
