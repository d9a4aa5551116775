package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Removes an upstream that left or whose lease expired.
 *
 * @param upstreamId the upstream
 * @param incarnation incarnation that ended; a newer one stays
 * @param left whether the agent announced that it leaves: then this incarnation never comes back. After an expired
 *             lease it may.
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
