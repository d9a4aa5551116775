package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Scores by which all nodes choose the same among candidates without asking each other: the highest one wins, and a candidate
 * that comes or goes moves only what it wins itself.
 */
public final class RendezvousScore {

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private RendezvousScore() {}

    /**
     * Scores one candidate.
     *
     * @param subject   what a candidate is chosen for
     * @param candidate its name
     * @return any number, the same at each node
     */
    public static long of(String subject, String candidate) {
        return HASH.hashChars(subject + '@' + candidate);
    }
}
