package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks for the claim of an unrepeatable stage before it is dispatched.
 *
 * @param correlation number that the reply repeats
 * @param account client account
 * @param key idempotency key of the request
 * @param stage stage, unique in the pipeline
 * @param attemptId attempt that will run under the claim
 * @param upstreamId upstream that it will be dispatched to
 * @param bodyDigest SHA-256 of the request body
 */
public record ClaimRequestMessage(
        long correlation,
        String account,
        String key,
        String stage,
        String attemptId,
        String upstreamId,
        byte[] bodyDigest)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimRequestMessage> CODEC =
            MessageCodec.of(20, ClaimRequestMessage.class, ClaimRequestMessage::write, ClaimRequestMessage::read);

    private void write(FieldWriter out) {
        out.put(1, correlation)
                .put(2, account)
                .put(3, key)
                .put(4, stage)
                .put(5, attemptId)
                .put(6, upstreamId)
                .put(7, bodyDigest);
    }

    private static ClaimRequestMessage read(FieldReader in) {
        return new ClaimRequestMessage(
                in.getLong(1, 0),
                in.getString(2),
                in.getString(3),
                in.getString(4),
                in.getString(5),
                in.getString(6),
                in.getBytes(7));
    }
}
