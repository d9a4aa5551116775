package org.copperspindle.membership;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Snapshot of an {@link UpstreamTable}.
 *
 * @param revision   number of membership changes so far
 * @param upstreams  encoded {@link UpstreamAnnouncement}s
 * @param tombstones encoded {@link UpstreamTombstone}s, oldest first
 */
record UpstreamSnapshot(long revision, List<byte[]> upstreams, List<byte[]> tombstones) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<UpstreamSnapshot> CODEC =
            MessageCodec.of(57, UpstreamSnapshot.class, UpstreamSnapshot::write, UpstreamSnapshot::read);

    private void write(FieldWriter out) {
        out.put(1, revision).put(2, upstreams).put(3, tombstones);
    }

    private static UpstreamSnapshot read(FieldReader in) {
        return new UpstreamSnapshot(in.getLong(1, 0), in.getList(2), in.getList(3));
    }
}
