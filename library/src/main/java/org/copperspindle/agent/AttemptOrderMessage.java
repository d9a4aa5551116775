package org.copperspindle.agent;

import org.copperspindle.config.Priority;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Orders an agent to run one attempt on its upstream. The order names its end in the agent's own clock, so that the
 * agent can tell a delayed copy without trusting another VM's clock; see {@link AgentClock}.
 *
 * @param attemptId identity of the attempt; a second order with it runs nothing
 * @param requestId request, for logs
 * @param upstreamId upstream that is meant; another agent refuses
 * @param agentIncarnation life of the agent that is meant; another life refuses
 * @param path HTTP path on the upstream
 * @param body HTTP body
 * @param streaming whether chunks are passed on as they come
 * @param repeatable whether the attempt may be cancelled and run again
 * @param priority priority of the request
 * @param timeLeftMicros time left until the request's deadline when the order was made
 * @param configVersion configuration version that the entry served under
 * @param expiresAtMicros the request's deadline in the agent's clock, 0 if not stamped
 * @param clockMicros the agent's clock reading that {@code expiresAtMicros} was worked out from, 0 if not stamped
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
        long configVersion,
        long expiresAtMicros,
        long clockMicros)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<AttemptOrderMessage> CODEC =
            MessageCodec.of(30, AttemptOrderMessage.class, AttemptOrderMessage::write, AttemptOrderMessage::read);

    /**
     * Creates an order that is not stamped with the agent's clock yet.
     *
     * @param attemptId        identity of the attempt
     * @param requestId        request, for logs
     * @param upstreamId       upstream that is meant
     * @param agentIncarnation life of the agent that is meant
     * @param path             HTTP path on the upstream
     * @param body             HTTP body
     * @param streaming        whether chunks are passed on as they come
     * @param repeatable       whether the attempt may be cancelled and run again
     * @param priority         priority of the request
     * @param timeLeftMicros   time left until the request's deadline
     * @param configVersion    configuration version that the entry served under
     */
    public AttemptOrderMessage(
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
            long configVersion) {
        this(
                attemptId,
                requestId,
                upstreamId,
                agentIncarnation,
                path,
                body,
                streaming,
                repeatable,
                priority,
                timeLeftMicros,
                configVersion,
                0,
                0);
    }

    /**
     * Stamps the order just before it is sent.
     *
     * @param expiresAt the request's deadline in the agent's clock
     * @param clock     the agent's clock reading that it was worked out from
     * @return the stamped order
     */
    public AttemptOrderMessage stamped(long expiresAt, long clock) {
        return new AttemptOrderMessage(
                attemptId,
                requestId,
                upstreamId,
                agentIncarnation,
                path,
                body,
                streaming,
                repeatable,
                priority,
                timeLeftMicros,
                configVersion,
                expiresAt,
                clock);
    }

    private void write(FieldWriter out) {
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
                .put(11, configVersion)
                .put(12, expiresAtMicros)
                .put(13, clockMicros);
    }

    private static AttemptOrderMessage read(FieldReader in) {
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
                in.getLong(11, 0),
                in.getLong(12, 0),
                in.getLong(13, 0));
    }
}
