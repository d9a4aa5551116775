package org.copperspindle.wire;

/**
 * Says that the sender's network thread runs. Sent only when nothing else was sent for a while; has no fields, and a
 * peer that does not know it skips it.
 */
public record HeartbeatMessage() implements WireMessage {

    /** The only instance that is needed. */
    static final HeartbeatMessage INSTANCE = new HeartbeatMessage();

    /** Codec of this message. */
    static final MessageCodec<HeartbeatMessage> CODEC =
            MessageCodec.of(2, HeartbeatMessage.class, (message, out) -> {}, in -> INSTANCE);
}
