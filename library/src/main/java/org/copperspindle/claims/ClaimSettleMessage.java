package org.copperspindle.claims;

import org.copperspindle.verdict.Verdict;
import org.copperspindle.verdict.VerdictFactory;
import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Reports the outcome of a claimed attempt to the claim table. Repeating it has no further effect.
 *
 * @param correlation number repeated in the reply
 * @param account     client account
 * @param key         idempotency key of the request
 * @param stage       pipeline and stage
 * @param attemptId   attempt that ended
 * @param verdict     verdict of the attempt; {@code NOT_RUN} frees the key for another attempt
 * @param shard       shard of the key
 */
public record ClaimSettleMessage(
        long correlation, String account, String key, String stage, String attemptId, Verdict verdict, int shard)
        implements WireMessage {

    /** Codec of this message. */
    public static final MessageCodec<ClaimSettleMessage> CODEC =
            MessageCodec.of(22, ClaimSettleMessage.class, ClaimSettleMessage::write, ClaimSettleMessage::read);

    /**
     * Returns a copy with a correlation number.
     *
     * @param number number repeated in the reply
     * @return the numbered settlement
     */
    public ClaimSettleMessage numbered(long number) {
        return new ClaimSettleMessage(number, account, key, stage, attemptId, verdict, shard);
    }

    /**
     * Returns a copy with another verdict.
     *
     * @param other verdict of the attempt
     * @return the same settlement with that verdict
     */
    public ClaimSettleMessage as(Verdict other) {
        return new ClaimSettleMessage(correlation, account, key, stage, attemptId, other, shard);
    }

    private void write(FieldWriter out) {
        out.put(1, account)
                .put(2, key)
                .put(3, stage)
                .put(4, attemptId)
                .put(5, verdict.label())
                .put(6, verdict.reason())
                .put(7, correlation)
                .put(8, shard);
    }

    private static ClaimSettleMessage read(FieldReader in) {
        return new ClaimSettleMessage(
                in.getLong(7, 0),
                in.getString(1),
                in.getString(2),
                in.getString(3),
                in.getString(4),
                VerdictFactory.of(in.getString(5), in.getString(6)),
                (int) in.getLong(8, 0));
    }
}
