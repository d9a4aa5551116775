package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Scores with which all nodes choose the same candidate without communication. The highest score wins, and a
 * candidate that is added or removed only affects the subjects that it wins itself.
 */
public final class RendezvousScore {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousScore() {}

    /**
     * Returns the score of a candidate.
     *
     * @param subject   subject for which a candidate is chosen
     * @param candidate name of the candidate
     * @return the score, the same at each node
     */
    public static long of(String subject, String candidate) {
        return HASH.hashChars(subject + '@' + candidate);
    }
}
