package org.copperspindle.discovery;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * What an upstream said of itself.
 *
 * @param id            identity of the upstream; a restart may have another or the same
 * @param incarnation   when this life of its process began, milliseconds since 1970 on its own clock; tells lives
 *                      under one
 *                      id apart. {@link #UNKNOWN_INCARNATION} if it does not say so
 * @param pool          its pool
 * @param address       IP:PORT for requests; may later belong to another upstream
 * @param failureDomain its failure domain
 * @param phase         where it stands in its life
 * @param slots         requests that it runs at once
 * @param sequence      number of the announcement within this life, to order late ones
 * @param ageMillis     how long ago the sender of this record heard it
 * @param coldMillis    how much longer it stays cold, counted from when it said so; 0 if it is not cold
 */
public record UpstreamRecord(
        String id,
        long incarnation,
        String pool,
        String address,
        String failureDomain,
        UpstreamPhase phase,
        int slots,
        long sequence,
        long ageMillis,
        long coldMillis)
        implements WireMessage {

    /** Incarnation of an upstream that does not tell when it started. */
    public static final long UNKNOWN_INCARNATION = 0;

    /** Codec of this message. */
    static final MessageCodec<UpstreamRecord> CODEC =
            MessageCodec.of(220, UpstreamRecord.class, UpstreamRecord::write, UpstreamRecord::read);

    /**
     * Makes the record of an upstream that has left.
     *
     * @return the same upstream, gone
     */
    public UpstreamRecord gone() {
        return new UpstreamRecord(
                id, incarnation, pool, address, failureDomain, UpstreamPhase.GONE, slots, sequence, ageMillis, 0);
    }

    /** Makes the record of an upstream that has said that it leaves. */
    UpstreamRecord leaving() {
        return new UpstreamRecord(
                id,
                incarnation,
                pool,
                address,
                failureDomain,
                UpstreamPhase.LEAVING,
                slots,
                sequence,
                ageMillis,
                coldMillis);
    }

    /**
     * Makes the record of an upstream that has left and was not known before.
     *
     * @param id          its id
     * @param incarnation the life that has ended
     * @return a record without address and pool
     */
    static UpstreamRecord goneUnheard(String id, long incarnation) {
        return new UpstreamRecord(id, incarnation, "", "", "", UpstreamPhase.GONE, 0, 0, 0, 0);
    }

    UpstreamRecord withAge(long millis) {
        return new UpstreamRecord(
                id, incarnation, pool, address, failureDomain, phase, slots, sequence, millis, coldMillis);
    }

    /**
     * Says whether what was known of one life of the upstream is over: it has left, or another life has begun.
     *
     * @param life incarnation of that life
     * @return false while the life goes on
     */
    public boolean endsIncarnation(long life) {
        return phase == UpstreamPhase.GONE || incarnation != life;
    }

    /** Says whether the upstream was cold when it announced itself. */
    boolean isCold() {
        return coldMillis > 0;
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static UpstreamRecord decode(byte[] bytes) {
        return CODEC.decodePart(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, id)
                .put(2, pool)
                .put(3, address)
                .put(4, failureDomain)
                .put(5, phase.ordinal())
                .put(6, slots)
                .put(7, sequence)
                .put(8, ageMillis)
                .put(9, incarnation)
                .put(10, coldMillis);
    }

    private static UpstreamRecord read(FieldReader in) {
        return new UpstreamRecord(
                in.getString(1),
                in.getLong(9, UNKNOWN_INCARNATION),
                in.getString(2),
                in.getString(3),
                in.getString(4),
                UpstreamPhase.of(in.getLong(5, 0)),
                (int) in.getLong(6, 1),
                in.getLong(7, 0),
                in.getLong(8, 0),
                in.getLong(10, 0));
    }
}
