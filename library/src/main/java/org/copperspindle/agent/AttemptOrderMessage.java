package org.copperspindle.agent;

import org.copperspindle.config.Priority;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Orders an agent to run one attempt on its upstream. It is sent inside a {@link StampedOrderMessage}; without the
 * stamp it is refused.
 *
 * @param attemptId identity of the attempt; a second order with the same one runs nothing
 * @param requestId request, for logs
 * @param upstreamId upstream to run it; another upstream's agent refuses
 * @param agentIncarnation incarnation of the agent to run it; another incarnation refuses
 * @param path HTTP path on the upstream
 * @param body HTTP body
 * @param streaming whether chunks are passed on as they arrive
 * @param repeatable whether the attempt may be cancelled and run again
 * @param priority priority of the request
 * @param timeLeftMicros time to the request's deadline when the order was created
 * @param configVersion configuration version that the entry served under
 */
public record AttemptOrderMessage(
        String attemptId,
        String requestId,
        String upstreamId,
        long agentIncarnation,
        String path,
        byte[] body,
        boolean streaming,
        boolean repeatable,
        Priority priority,
        long timeLeftMicros,
        long configVersion)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptOrderMessage> CODEC =
            MessageCodec.of(30, AttemptOrderMessage.class, AttemptOrderMessage::write, AttemptOrderMessage::read);

    void write(FieldWriter out) {
        out.put(1, attemptId)
                .put(2, requestId)
                .put(3, upstreamId)
                .put(4, agentIncarnation)
                .put(5, path)
                .put(6, body)
                .put(7, streaming)
                .put(8, repeatable)
                .put(9, priority.ordinal())
                .put(10, timeLeftMicros)
                .put(11, configVersion);
    }

    static AttemptOrderMessage read(FieldReader in) {
        return new AttemptOrderMessage(
                in.getString(1),
                in.getString(2),
                in.getString(3),
                in.getLong(4, 0),
                in.getString(5),
                in.getBytes(6),
                in.getBoolean(7),
                in.getBoolean(8),
                Priority.values()[(int) in.getLong(9, 0)],
                in.getLong(10, 0),
                in.getLong(11, 0));
    }
}
