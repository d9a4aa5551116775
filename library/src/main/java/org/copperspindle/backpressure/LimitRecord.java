package org.copperspindle.backpressure;

import java.util.OptionalDouble;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The limit of an upstream, or the absence of one, as a node received it.
 *
 * @param upstream    id of the upstream
 * @param incarnation incarnation of the upstream that announced it
 * @param perSecond   requests per second from all nodes together; empty if it does not announce a limit any more
 * @param ageMillis   age of the announcement when this record was sent
 */
record LimitRecord(String upstream, long incarnation, OptionalDouble perSecond, long ageMillis) implements WireMessage {

    static final MessageCodec<LimitRecord> CODEC =
            MessageCodec.of(226, LimitRecord.class, LimitRecord::write, LimitRecord::read);

    /** Limits are encoded as whole numbers of requests per million seconds. */
    private static final double SCALE = 1e6;

    private static final long NO_LIMIT = -1;

    byte[] encode() {
        return CODEC.encode(this);
    }

    static LimitRecord decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
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
