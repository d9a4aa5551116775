package org.copperspindle.claims;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Asks for the claim of an unrepeatable stage before it is dispatched. Asking twice for one attempt is harmless: it is
 * granted again if it holds the claim.
 *
 * @param correlation      number that the reply repeats
 * @param account          client account
 * @param key              idempotency key of the request
 * @param stage            pipeline and stage, unique in the deployment
 * @param attemptId        attempt that will run under the claim
 * @param upstreamId       upstream that it will be dispatched to
 * @param bodyDigest       SHA-256 of the request body
 * @param agentIncarnation life of the upstream's agent; only this life can prove that the attempt did not run
 * @param clockMicros      reading of that life's clock, 0 if none is known; with it the agent can tell later whether it
 *                         may have forgotten the attempt
 * @param shard            shard of the key, by {@link ClaimShards}
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
     * Numbers this request.
     *
     * @param number number that the reply repeats
     * @return the same request with that correlation
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
