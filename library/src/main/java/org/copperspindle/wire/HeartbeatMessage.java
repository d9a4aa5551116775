package org.copperspindle.wire;

/**
 * Shows that the sender's network thread is running. Sent only after the sender has written nothing else for the
 * heartbeat interval. Has no fields; a peer that doesn't know the type skips it.
 */
public record HeartbeatMessage() implements WireMessage {

    /** The shared instance. */
    static final HeartbeatMessage INSTANCE = new HeartbeatMessage();

    /** Codec of this message. */
    static final MessageCodec<HeartbeatMessage> CODEC =
            MessageCodec.of(2, HeartbeatMessage.class, (message, out) -> {}, in -> INSTANCE);
}
