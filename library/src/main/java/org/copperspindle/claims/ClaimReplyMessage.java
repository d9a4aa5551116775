package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Answer to a {@link ClaimRequestMessage}.
 *
 * @param correlation number of the request
 * @param result name of a {@link ClaimResult}
 * @param attemptId attempt that holds the claim
 * @param upstreamId upstream of that attempt
 */
public record ClaimReplyMessage(long correlation, String result, String attemptId, String upstreamId)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimReplyMessage> CODEC =
            MessageCodec.of(21, ClaimReplyMessage.class, ClaimReplyMessage::write, ClaimReplyMessage::read);

    private void write(FieldWriter out) {
        out.put(1, correlation).put(2, result).put(3, attemptId).put(4, upstreamId);
    }

    private static ClaimReplyMessage read(FieldReader in) {
        return new ClaimReplyMessage(in.getLong(1, 0), in.getString(2), in.getString(3), in.getString(4));
    }
}
