package org.copperspindle.version;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Change of the software versions in use in one pool, as recorded in the log. Versions of one pool are recorded together
 * when the list begins to be kept: with only some of them, nodes would conclude that there are no others.
 *
 * @param pool     name of the pool
 * @param versions texts of the versions; a command without any only begins the list
 * @param isInUse  true if the versions may begin streams, false if no caller can take up a stream of them any more
 */
public record SoftwareCommand(String pool, List<String> versions, boolean isInUse) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<SoftwareCommand> CODEC =
            MessageCodec.of(216, SoftwareCommand.class, SoftwareCommand::write, SoftwareCommand::read);

    /** Copies the list. */
    public SoftwareCommand {
        versions = List.copyOf(versions);
    }

    private void write(FieldWriter out) {
        out.put(1, pool).putStrings(2, versions).put(3, isInUse);
    }

    private static SoftwareCommand read(FieldReader in) {
        return new SoftwareCommand(in.getString(1), in.getStrings(2), in.getBoolean(3));
    }
}
