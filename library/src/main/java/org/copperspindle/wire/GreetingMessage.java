package org.copperspindle.wire;

/**
 * First message that each side of a connection sends: its protocol version and identity.
 *
 * @param protocol    highest protocol version of the sender
 * @param role        {@code entry}, {@code agent} or {@code control}
 * @param processId   process id from the sender's settings
 * @param incarnation incarnation of the process; normally larger after each restart
 */
public record GreetingMessage(long protocol, String role, String processId, long incarnation) implements WireMessage {

    /** Protocol version of this build. A peer below {@link #OLDEST_PROTOCOL} is refused. */
    public static final long PROTOCOL = 2;

    /** First protocol version with heartbeats. */
    static final long HEARTBEAT_PROTOCOL = 2;

    /** Oldest protocol version that this build accepts. */
    public static final long OLDEST_PROTOCOL = 1;

    /** Codec of this message. */
    public static final MessageCodec<GreetingMessage> CODEC =
            MessageCodec.of(1, GreetingMessage.class, GreetingMessage::write, GreetingMessage::read);

    private void write(FieldWriter out) {
        out.put(1, protocol).put(2, role).put(3, processId).put(4, incarnation);
    }

    private static GreetingMessage read(FieldReader in) {
        return new GreetingMessage(in.getLong(1, 0), in.getString(2), in.getString(3), in.getLong(4, 0));
    }
}
