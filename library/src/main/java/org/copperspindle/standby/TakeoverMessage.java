package org.copperspindle.standby;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Announces that the standby of a pool dispatches it instead of the dispatcher, or that it no longer does. Sent by the
 * standby to all nodes, and forwarded by the dispatcher to nodes that still send it groups.
 *
 * @param pool        name of the pool
 * @param dispatcher  name of the dispatcher that is replaced
 * @param incarnation incarnation of the dispatcher's process
 * @param ends        true if the dispatcher dispatches the pool again
 */
public record TakeoverMessage(String pool, String dispatcher, long incarnation, boolean ends) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<TakeoverMessage> CODEC =
            MessageCodec.of(246, TakeoverMessage.class, TakeoverMessage::write, TakeoverMessage::read);

    /**
     * Returns whether the fields are present and in range.
     *
     * @return false if the message must be dropped
     */
    public boolean isValid() {
        return !pool.isEmpty() && !dispatcher.isEmpty() && incarnation > 0;
    }

    private void write(FieldWriter out) {
        out.put(1, pool).put(2, dispatcher).put(3, incarnation);
        if (ends) {
            out.put(4, true);
        }
    }

    private static TakeoverMessage read(FieldReader in) {
        return new TakeoverMessage(in.getString(1), in.getString(2), in.getLong(3, 0), in.getBoolean(4));
    }
}
