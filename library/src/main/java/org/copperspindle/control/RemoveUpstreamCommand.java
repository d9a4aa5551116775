package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Removes an upstream that left or whose lease ran out.
 *
 * @param upstreamId the upstream
 * @param incarnation life that ended; a newer one stays
 * @param left whether the agent said that it leaves: then this life never comes back. After a lost lease it may.
 */
public record RemoveUpstreamCommand(String upstreamId, long incarnation, boolean left) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<RemoveUpstreamCommand> CODEC =
            MessageCodec.of(52, RemoveUpstreamCommand.class, RemoveUpstreamCommand::write, RemoveUpstreamCommand::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation).put(3, left);
    }

    private static RemoveUpstreamCommand read(FieldReader in) {
        return new RemoveUpstreamCommand(in.getString(1), in.getLong(2, 0), in.getBoolean(3));
    }
}
