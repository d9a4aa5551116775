package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Requests the claim of a non-repeatable stage before its dispatch. Repeating the request for one attempt is
 * harmless: it is granted again if the attempt holds the claim.
 *
 * @param correlation      number repeated in the reply
 * @param account          client account
 * @param key              idempotency key of the request
 * @param stage            pipeline and stage, unique in the deployment
 * @param attemptId        attempt that will run under the claim
 * @param upstreamId       upstream that it will be dispatched to
 * @param bodyDigest       SHA-256 of the request body
 * @param agentIncarnation incarnation of the upstream's agent; only this incarnation can prove that the attempt did
 *                         not run
 * @param clockMicros      time on that incarnation's clock, 0 if unknown; it tells the agent later whether it may
 *                         have forgotten the attempt
 * @param shard            shard of the key, see {@link ClaimShards}
 */
public record ClaimRequestMessage(
        long correlation,
        String account,
        String key,
        String stage,
        String attemptId,
        String upstreamId,
        byte[] bodyDigest,
        long agentIncarnation,
        long clockMicros,
        int shard)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimRequestMessage> CODEC =
            MessageCodec.of(20, ClaimRequestMessage.class, ClaimRequestMessage::write, ClaimRequestMessage::read);

    /**
     * Returns a copy with a correlation number.
     *
     * @param number number repeated in the reply
     * @return the numbered request
     */
    public ClaimRequestMessage numbered(long number) {
        return new ClaimRequestMessage(
                number, account, key, stage, attemptId, upstreamId, bodyDigest, agentIncarnation, clockMicros, shard);
    }

    private void write(FieldWriter out) {
        out.put(1, correlation)
                .put(2, account)
                .put(3, key)
                .put(4, stage)
                .put(5, attemptId)
                .put(6, upstreamId)
                .put(7, bodyDigest)
                .put(8, agentIncarnation)
                .put(9, shard)
                .put(10, clockMicros);
    }

    private static ClaimRequestMessage read(FieldReader in) {
        return new ClaimRequestMessage(
                in.getLong(1, 0),
                in.getString(2),
                in.getString(3),
                in.getString(4),
                in.getString(5),
                in.getString(6),
                in.getBytes(7),
                in.getLong(8, 0),
                in.getLong(10, 0),
                (int) in.getLong(9, 0));
    }
}
