package org.copperspindle.standby;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Shows the standby of some pools that their dispatcher works; sent by the dispatcher in every heartbeat interval.
 *
 * @param pools names of the pools
 */
public record DispatcherHeartbeatMessage(List<String> pools) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<DispatcherHeartbeatMessage> CODEC = MessageCodec.of(
            245, DispatcherHeartbeatMessage.class, DispatcherHeartbeatMessage::write, DispatcherHeartbeatMessage::read);

    /** Copies the list. */
    public DispatcherHeartbeatMessage {
        pools = List.copyOf(pools);
    }

    private void write(FieldWriter out) {
        out.putStrings(1, pools);
    }

    private static DispatcherHeartbeatMessage read(FieldReader in) {
        return new DispatcherHeartbeatMessage(in.getStrings(1));
    }
}
