package org.copperspindle.batch;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * How long pieces wait for a pool's upstreams, told by the node that packs its calls.
 *
 * @param pool           name of the pool
 * @param waitMillis     time until a group that comes now would begin
 * @param perSecond      pieces that the pool makes in a second of full calls
 * @param expectedPieces pieces that requests in earlier stages will send
 */
public record PoolLoadMessage(String pool, long waitMillis, long perSecond, long expectedPieces)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<PoolLoadMessage> CODEC =
            MessageCodec.of(235, PoolLoadMessage.class, PoolLoadMessage::write, PoolLoadMessage::read);

    private void write(FieldWriter out) {
        out.put(1, pool).put(2, waitMillis).put(3, perSecond).put(4, expectedPieces);
    }

    private static PoolLoadMessage read(FieldReader in) {
        return new PoolLoadMessage(in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0));
    }
}
