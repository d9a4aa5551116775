package org.copperspindle.membership;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The end of one life of an upstream, kept so that a late announcement of that life changes nothing.
 *
 * @param upstreamId  identity of the upstream
 * @param incarnation the life that ended
 * @param sequence    its last announcement
 * @param left        whether it left by itself; otherwise its lease ran out, and the same life may come back
 */
record UpstreamDeparture(String upstreamId, long incarnation, long sequence, boolean left) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<UpstreamDeparture> CODEC =
            MessageCodec.of(58, UpstreamDeparture.class, UpstreamDeparture::write, UpstreamDeparture::read);

    boolean bars(UpstreamAnnouncement announcement) {
        if (announcement.incarnation() != incarnation) {
            return announcement.incarnation() < incarnation;
        }
        return left || announcement.sequence() < sequence;
    }

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation).put(3, sequence).put(4, left);
    }

    private static UpstreamDeparture read(FieldReader in) {
        return new UpstreamDeparture(in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getBoolean(4));
    }
}
