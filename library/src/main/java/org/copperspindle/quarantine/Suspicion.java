package org.copperspindle.quarantine;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Suspicion that a request terminates upstreams. Nodes merge received suspicions in any order and any number of times
 * with the same result: a later epoch replaces an earlier one, and within an epoch the highest level wins.
 *
 * @param digest    identifies the request
 * @param epoch     number of times it was cleared, because an upstream survived it or an operator lifted the
 *                  quarantine
 * @param level     strength of the suspicion, see {@link QuarantinePolicy}; zero once cleared
 * @param upstreams ids of some of the upstreams that terminated while running it
 * @param route     its route, for operators
 * @param account   its client account, for operators
 * @param ageMillis time since the last of them terminated, or since it was cleared
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

    /** Maximum number of upstreams kept; enough for an operator to investigate. */
    private static final int MAX_UPSTREAMS = 8;

    // Bounds values received from other nodes, whose build may have other limits.
    Suspicion {
        upstreams = upstreams.stream().limit(MAX_UPSTREAMS).toList();
        level = Math.max(0, Math.min(QuarantinePolicy.MAX_LEVEL, level));
    }

    /** Returns whether an upstream terminated under the request in this epoch. */
    boolean isSuspected() {
        return level > 0;
    }

    /** Returns the suspicion of the next epoch, cleared now. */
    Suspicion cleared() {
        return new Suspicion(digest, epoch + 1, 0, List.of(), route, account, 0);
    }

    /** Returns the union of this suspicion and another one of the same request. */
    Suspicion merge(Suspicion other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        Set<String> merged = new LinkedHashSet<>(upstreams);
        merged.addAll(other.upstreams);
        return new Suspicion(
                digest,
                epoch,
                Math.max(level, other.level),
                List.copyOf(merged),
                route,
                account,
                Math.min(ageMillis, other.ageMillis));
    }

    /** Returns whether two suspicions are equal except for their age. */
    boolean equalsIgnoringAge(Suspicion other) {
        return withAge(0).equals(other.withAge(0));
    }

    Suspicion withAge(long millis) {
        return new Suspicion(digest, epoch, level, upstreams, route, account, millis);
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    static Suspicion decode(byte[] bytes) {
        return CODEC.decodeNested(bytes);
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
