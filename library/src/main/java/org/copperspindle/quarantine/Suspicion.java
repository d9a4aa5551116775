package org.copperspindle.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * What is thought of one request. Nodes merge what they hear in any order and any number of times, and come to the same: a later
 * epoch replaces an earlier one, and within an epoch the highest level holds.
 *
 * @param digest    names the request
 * @param epoch     how often it was cleared: an upstream outlived it, or an operator lifted the hold
 * @param level     how strongly it is suspected, see {@link HoldPolicy}; zero once cleared
 * @param upstreams ids of upstreams that ended under it, some of them
 * @param route     its route, for operators
 * @param account   its client account, for operators
 * @param ageMillis how long ago the last of them ended, or it was cleared
 */
record Suspicion(
        RequestDigest digest,
        long epoch,
        int level,
        List<String> upstreams,
        String route,
        String account,
        long ageMillis)
        implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<Suspicion> CODEC =
            MessageCodec.of(222, Suspicion.class, Suspicion::write, Suspicion::read);

    /** As many as an operator looks up. */
    private static final int MAX_UPSTREAMS = 8;

    // Bounds what comes from other nodes: their build may have other limits.
    Suspicion {
        upstreams = upstreams.stream().limit(MAX_UPSTREAMS).toList();
        level = Math.max(0, Math.min(HoldPolicy.MOST, level));
    }

    /** Says whether an upstream ended under the request in this epoch. */
    boolean isSuspected() {
        return level > 0;
    }

    /** Returns the next epoch of it, cleared now. */
    Suspicion cleared() {
        return new Suspicion(digest, epoch + 1, 0, List.of(), route, account, 0);
    }

    /** Returns what this and another one say together. */
    Suspicion merge(Suspicion other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        Set<String> both = new LinkedHashSet<>(upstreams);
        both.addAll(other.upstreams);
        return new Suspicion(
                digest,
                epoch,
                Math.max(level, other.level),
                List.copyOf(both),
                route,
                account,
                Math.min(ageMillis, other.ageMillis));
    }

    /** Says whether both say the same but for their age. */
    boolean saysSame(Suspicion other) {
        return withAge(0).equals(other.withAge(0));
    }

    Suspicion withAge(long millis) {
        return new Suspicion(digest, epoch, level, upstreams, route, account, millis);
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static Suspicion decode(byte[] bytes) {
        return CODEC.decodePart(bytes);
    }

    private void write(FieldWriter out) {
        out.put(1, digest.text())
                .put(2, epoch)
                .put(3, level)
                .putStrings(4, upstreams)
                .put(5, route)
                .put(6, account)
                .put(7, ageMillis);
    }

    private static Suspicion read(FieldReader in) {
        return new Suspicion(
                new RequestDigest(in.getString(1)),
                in.getLong(2, 0),
                (int) in.getLong(3, 0),
                in.getStrings(4),
                in.getString(5),
                in.getString(6),
                in.getLong(7, 0));
    }
}
