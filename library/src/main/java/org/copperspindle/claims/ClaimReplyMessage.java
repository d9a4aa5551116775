package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Reply to a {@link ClaimRequestMessage}.
 *
 * @param correlation number of the request
 * @param decision    the decision
 */
public record ClaimReplyMessage(long correlation, ClaimDecision decision) implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimReplyMessage> CODEC =
            MessageCodec.of(21, ClaimReplyMessage.class, ClaimReplyMessage::write, ClaimReplyMessage::read);

    private void write(FieldWriter out) {
        out.put(1, correlation)
                .put(2, decision.result().name())
                .put(3, decision.attemptId())
                .put(4, decision.upstreamId())
                .put(5, decision.agentIncarnation())
                .put(6, decision.ended())
                .put(7, decision.clockMicros());
    }

    private static ClaimReplyMessage read(FieldReader in) {
        return new ClaimReplyMessage(
                in.getLong(1, 0),
                new ClaimDecision(
                        ClaimResult.parse(in.getString(2)),
                        in.getString(3),
                        in.getString(4),
                        in.getLong(5, 0),
                        in.getLong(7, 0),
                        in.getBoolean(6)));
    }
}
