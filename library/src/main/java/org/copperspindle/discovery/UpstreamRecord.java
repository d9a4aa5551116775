package org.copperspindle.discovery;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * State of an upstream as it announced it.
 *
 * @param id            identity of the upstream; may change or stay the same across restarts
 * @param incarnation   start time of the process, in milliseconds since 1970 on its own clock; distinguishes
 *                      incarnations under one id. {@link #UNKNOWN_INCARNATION} if the upstream does not announce it
 * @param pool          its pool
 * @param address       IP:PORT for requests; may later belong to another upstream
 * @param failureDomain its failure domain
 * @param phase         phase of its life cycle
 * @param slots         number of requests that it runs concurrently
 * @param sequence      number of the announcement within this incarnation, to order delayed ones
 * @param ageMillis     time since the sender of this record received the announcement, in milliseconds
 * @param coldMillis    remaining cold time in milliseconds, counted from the announcement; 0 if it is not cold
 * @param software      version of its software
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
        long coldMillis,
        SoftwareVersion software)
        implements WireMessage {

    /** Incarnation of an upstream that does not announce its start time. */
    public static final long UNKNOWN_INCARNATION = 0;

    /** Codec of this message. */
    static final MessageCodec<UpstreamRecord> CODEC =
            MessageCodec.of(220, UpstreamRecord.class, UpstreamRecord::write, UpstreamRecord::read);

    /**
     * Returns a copy that marks the upstream as gone.
     *
     * @return the same upstream in the phase {@code GONE}
     */
    public UpstreamRecord gone() {
        return new UpstreamRecord(
                id,
                incarnation,
                pool,
                address,
                failureDomain,
                UpstreamPhase.GONE,
                slots,
                sequence,
                ageMillis,
                0,
                software);
    }

    /** Returns a copy that marks the upstream as leaving. */
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
                coldMillis,
                software);
    }

    /**
     * Creates the record of an upstream that has left without having been known before.
     *
     * @param id          its id
     * @param incarnation incarnation that has ended
     * @return a record without address and pool
     */
    static UpstreamRecord goneUnknown(String id, long incarnation) {
        return new UpstreamRecord(
                id, incarnation, "", "", "", UpstreamPhase.GONE, 0, 0, 0, 0, SoftwareVersion.UNSTATED);
    }

    UpstreamRecord withAge(long millis) {
        return new UpstreamRecord(
                id, incarnation, pool, address, failureDomain, phase, slots, sequence, millis, coldMillis, software);
    }

    /**
     * Returns whether an incarnation of this upstream is over: the upstream has left, or another incarnation has
     * started.
     *
     * @param previousIncarnation incarnation to check
     * @return false while that incarnation is alive
     */
    public boolean endsIncarnation(long previousIncarnation) {
        return phase == UpstreamPhase.GONE || incarnation != previousIncarnation;
    }

    /** Returns whether the upstream was cold when it announced itself. */
    boolean isCold() {
        return coldMillis > 0;
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static UpstreamRecord decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
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
        if (!software.equals(SoftwareVersion.UNSTATED)) {
            out.put(11, software.text());
        }
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
                in.getLong(10, 0),
                in.findString(11).map(SoftwareVersion::of).orElse(SoftwareVersion.UNSTATED));
    }
}
