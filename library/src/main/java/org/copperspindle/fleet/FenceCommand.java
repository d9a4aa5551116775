package org.copperspindle.fleet;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Invalidates every order that was committed before this command at an agent that has restarted.
 *
 * @param upstreamId the upstream
 * @param incarnation incarnation of its agent
 */
public record FenceCommand(String upstreamId, long incarnation) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<FenceCommand> CODEC =
            MessageCodec.of(94, FenceCommand.class, FenceCommand::write, FenceCommand::read);

    private void write(FieldWriter out) {
        out.put(1, upstreamId).put(2, incarnation);
    }

    private static FenceCommand read(FieldReader in) {
        return new FenceCommand(in.getString(1), in.getLong(2, 0));
    }
}
