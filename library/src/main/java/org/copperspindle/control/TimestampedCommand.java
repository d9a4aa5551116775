package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A command with the wall clock of its proposer. The time goes into the audit trail and decides nothing: clocks of
 * different VMs disagree and jump.
 *
 * @param atMillis milliseconds since 1970
 * @param command  the encoded command
 */
record StampedCommand(long atMillis, byte[] command) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<StampedCommand> CODEC =
            MessageCodec.of(98, StampedCommand.class, StampedCommand::write, StampedCommand::read);

    private void write(FieldWriter out) {
        out.put(1, atMillis).put(2, command);
    }

    private static StampedCommand read(FieldReader in) {
        return new StampedCommand(in.getLong(1, 0), in.getBytes(2));
    }
}
