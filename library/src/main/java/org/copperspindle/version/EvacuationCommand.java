package org.copperspindle.version;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * An operator's evacuation order for one failure domain, as recorded in the log.
 *
 * @param failureDomain name of the failure domain
 * @param isEvacuation        true to stop sending to its upstreams, false to use them again
 */
public record EvacuationCommand(String failureDomain, boolean isEvacuation) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<EvacuationCommand> CODEC =
            MessageCodec.of(213, EvacuationCommand.class, EvacuationCommand::write, EvacuationCommand::read);

    private void write(FieldWriter out) {
        out.put(1, failureDomain).put(2, isEvacuation);
    }

    private static EvacuationCommand read(FieldReader in) {
        return new EvacuationCommand(in.getString(1), in.getBoolean(2));
    }
}
