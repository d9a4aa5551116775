package org.copperspindle.control;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * A command with the wall-clock time of its proposer. The time is only recorded in the audit trail and influences no
 * decision, since the clocks of different VMs disagree and jump.
 *
 * @param atMillis milliseconds since 1970
 * @param command  the encoded command
 */
record TimestampedCommand(long atMillis, byte[] command) implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<TimestampedCommand> CODEC =
            MessageCodec.of(98, TimestampedCommand.class, TimestampedCommand::write, TimestampedCommand::read);

    private void write(FieldWriter out) {
        out.put(1, atMillis).put(2, command);
    }

    private static TimestampedCommand read(FieldReader in) {
        return new TimestampedCommand(in.getLong(1, 0), in.getBytes(2));
    }
}
