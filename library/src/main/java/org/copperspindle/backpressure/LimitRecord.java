package org.copperspindle.backpressure;

import java.util.OptionalDouble;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * What a node has read of the limit of an upstream.
 *
 * @param upstream    id of the upstream
 * @param incarnation life of the upstream that said it
 * @param perSecond   requests a second from all nodes together; empty once it names no limit any more
 * @param ageMillis   how long before this record was sent it was read
 */
record LimitRecord(String upstream, long incarnation, OptionalDouble perSecond, long ageMillis) implements WireMessage {

    static final MessageCodec<LimitRecord> CODEC =
            MessageCodec.of(226, LimitRecord.class, LimitRecord::write, LimitRecord::read);

    /** Limits travel as whole numbers of requests in a million seconds. */
    private static final double SCALE = 1e6;

    private static final long NO_LIMIT = -1;

    byte[] encode() {
        return CODEC.encode(this);
    }

    static LimitRecord decode(byte[] bytes) {
        return CODEC.decodePart(bytes);
    }

    private void write(FieldWriter out) {
        long scaled = perSecond.isPresent() ? Math.round(perSecond.getAsDouble() * SCALE) : NO_LIMIT;
        out.put(1, upstream).put(2, incarnation).put(3, scaled).put(4, ageMillis);
    }

    private static LimitRecord read(FieldReader in) {
        long scaled = in.getLong(3, NO_LIMIT);
        OptionalDouble perSecond = scaled < 0 ? OptionalDouble.empty() : OptionalDouble.of(scaled / SCALE);
        return new LimitRecord(in.getString(1), in.getLong(2, 0), perSecond, Math.max(0, in.getLong(4, 0)));
    }
}
