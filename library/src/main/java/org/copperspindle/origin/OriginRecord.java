package org.copperspindle.origin;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Record of the origin of one stream.
 *
 * @param key    the stream
 * @param pool   its pool
 * @param origin where it began
 */
record OriginRecord(StreamKey key, String pool, StreamOrigin origin) implements WireMessage {

    /** Codec of this record. */
    static final MessageCodec<OriginRecord> CODEC =
            MessageCodec.of(250, OriginRecord.class, OriginRecord::write, OriginRecord::read);

    /** Codec of the same record on a disk, where it is kept for longer than a message. */
    static final MessageCodec<OriginRecord> STORED_CODEC =
            MessageCodec.of(254, OriginRecord.class, OriginRecord::writeStored, OriginRecord::readStored);

    byte[] encode() {
        return CODEC.encode(this);
    }

    static OriginRecord decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, key.text()).put(2, pool).put(3, origin.software().text()).put(4, origin.order());
    }

    private static OriginRecord read(FieldReader in) {
        StreamOrigin origin = new StreamOrigin(SoftwareVersion.of(in.getString(3)), in.getLong(4, 0));
        return new OriginRecord(new StreamKey(in.getString(1)), in.getString(2), origin);
    }

    private void writeStored(FieldWriter out) {
        out.put(1, key.bytes()).put(2, pool).put(3, origin.software().text()).put(4, origin.order());
    }

    private static OriginRecord readStored(FieldReader in) {
        StreamOrigin origin = new StreamOrigin(SoftwareVersion.of(in.getString(3)), in.getLong(4, 0));
        return new OriginRecord(StreamKey.of(in.getBytes(1)), in.getString(2), origin);
    }
}
