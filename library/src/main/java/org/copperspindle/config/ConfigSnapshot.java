package org.copperspindle.config;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Snapshot of a {@link ConfigHistory}.
 *
 * @param version newest accepted version
 * @param text    compressed text of that version
 * @param changes encoded {@link ConfigChange}s in the order of the decisions
 */
record ConfigSnapshot(long version, byte[] text, List<byte[]> changes) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<ConfigSnapshot> CODEC =
            MessageCodec.of(55, ConfigSnapshot.class, ConfigSnapshot::write, ConfigSnapshot::read);

    private void write(FieldWriter out) {
        out.put(1, version).put(2, text).put(3, changes);
    }

    private static ConfigSnapshot read(FieldReader in) {
        return new ConfigSnapshot(in.getLong(1, 0), in.getBytes(2), in.getList(3));
    }
}
