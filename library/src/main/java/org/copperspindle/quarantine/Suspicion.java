package org.copperspindle.quarantine;

import java.util.List;

import org.copperspindle.wire.FieldReader;
import org.copperspindle.wire.FieldWriter;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * Suspicion that a request, or a part of prompts, terminates upstreams. Nodes merge received suspicions in any order and
 * any number of times with the same result: a later epoch replaces an earlier one, and within an epoch the highest level
 * wins.
 *
 * @param digest    identifies the suspect
 * @param part      id of the prompt part; empty for a whole request
 * @param epoch     number of times it was cleared, because an upstream survived it or an operator lifted the
 *                  quarantine
 * @param level     strength of the suspicion, see {@link QuarantinePolicy}; zero once cleared
 * @param evidence  what is known of the terminations in this epoch
 * @param route     route of a request that held it, for operators
 * @param account   client account of that request, for operators
 * @param ageMillis time since the last of them terminated, or since it was cleared
 */
record Suspicion(
        SuspectDigest digest,
        String part,
        long epoch,
        int level,
        TerminationEvidence evidence,
        String route,
        String account,
        long ageMillis)
        implements WireMessage {

    /** Codec of this message. */
    static final MessageCodec<Suspicion> CODEC =
            MessageCodec.of(222, Suspicion.class, Suspicion::write, Suspicion::read);

    // Bounds values received from other nodes, whose build may have other limits.
    Suspicion {
        level = Math.max(0, Math.min(QuarantinePolicy.MAX_LEVEL, level));
    }

    /** Returns whether an upstream terminated under the suspect in this epoch. */
    boolean isSuspected() {
        return level > 0;
    }

    boolean isOfPromptPart() {
        return !part.isEmpty();
    }

    List<String> upstreams() {
        return evidence.upstreams();
    }

    /** Returns the suspicion of the next epoch, cleared now. */
    Suspicion cleared() {
        return new Suspicion(digest, part, epoch + 1, 0, TerminationEvidence.NONE, route, account, 0);
    }

    /** Returns the union of this suspicion and another one of the same suspect. */
    Suspicion merge(Suspicion other) {
        if (epoch != other.epoch) {
            return epoch > other.epoch ? this : other;
        }
        return new Suspicion(
                digest,
                part,
                epoch,
                Math.max(level, other.level),
                evidence.merge(other.evidence),
                route,
                account,
                Math.min(ageMillis, other.ageMillis));
    }

    /** Returns whether two suspicions are equal except for their age. */
    boolean equalsIgnoringAge(Suspicion other) {
        return withAge(0).equals(other.withAge(0));
    }

    Suspicion withAge(long millis) {
        return new Suspicion(digest, part, epoch, level, evidence, route, account, millis);
    }

    /** Returns the suspicion with a software version at which a request with the suspect was completed. */
    Suspicion withAnswered(String software) {
        return new Suspicion(digest, part, epoch, level, evidence.withAnswered(software), route, account, ageMillis);
    }

    /**
     * Returns whether the terminations under this suspect are those of another one that more requests have in common. A
     * request that was resumed at one upstream after the other was there by chance then.
     */
    boolean isExplainedBy(Suspicion other) {
        return other.isOfPromptPart()
                && other.evidence.requests().size() > evidence.requests().size()
                && other.upstreams().containsAll(upstreams());
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
                .putStrings(4, evidence.upstreams())
                .put(5, route)
                .put(6, account)
                .put(7, ageMillis)
                .put(8, part)
                .putStrings(9, evidence.requests())
                .putStrings(10, evidence.terminated())
                .putStrings(11, evidence.answered());
    }

    private static Suspicion read(FieldReader in) {
        return new Suspicion(
                new SuspectDigest(in.getString(1)),
                in.findString(8).orElse(""),
                in.getLong(2, 0),
                (int) in.getLong(3, 0),
                new TerminationEvidence(in.getStrings(4), in.getStrings(9), in.getStrings(10), in.getStrings(11)),
                in.getString(5),
                in.getString(6),
                in.getLong(7, 0));
    }
}
