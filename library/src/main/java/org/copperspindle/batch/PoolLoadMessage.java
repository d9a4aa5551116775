package org.copperspindle.batch;

import java.time.Duration;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The load of a pool, broadcast by its dispatcher.
 *
 * @param pool           name of the pool
 * @param waitMillis     time until a group that arrives now would start
 * @param perSecond      pieces that the pool completes in a second of full calls
 * @param expectedPieces pieces that requests in earlier stages will send
 * @param isShort        true if the pools that are used together with this one are short of capacity, so that the
 *                       controller of the group decides which requests start
 */
public record PoolLoadMessage(String pool, long waitMillis, long perSecond, long expectedPieces, boolean isShort)
        implements WireMessage {

    /** Age in nanoseconds after which a load is ignored: the load is over, or the node that reported it is gone. */
    public static final long MAX_AGE_NANOS = Duration.ofMillis(600).toNanos();

    /** Codec of this message. */
    public static final MessageCodec<PoolLoadMessage> CODEC =
            MessageCodec.of(235, PoolLoadMessage.class, PoolLoadMessage::write, PoolLoadMessage::read);

    /** Longest wait in milliseconds that is believed: no caller waits longer. */
    private static final long MAX_WAIT_MILLIS = Duration.ofHours(1).toMillis();

    /** Far above the pieces of any real pool. */
    private static final long MAX_PIECES = 1_000_000_000L;

    /**
     * Returns whether the message may be used.
     *
     * @return false if a value is out of range
     */
    public boolean isValid() {
        return isWithin(waitMillis, MAX_WAIT_MILLIS)
                && isWithin(perSecond, MAX_PIECES)
                && isWithin(expectedPieces, MAX_PIECES);
    }

    private static boolean isWithin(long value, long most) {
        return value >= 0 && value <= most;
    }

    private void write(FieldWriter out) {
        out.put(1, pool).put(2, waitMillis).put(3, perSecond).put(4, expectedPieces);
        if (isShort) {
            out.put(5, true);
        }
    }

    private static PoolLoadMessage read(FieldReader in) {
        return new PoolLoadMessage(
                in.getString(1), in.getLong(2, 0), in.getLong(3, 0), in.getLong(4, 0), in.getBoolean(5));
    }
}
