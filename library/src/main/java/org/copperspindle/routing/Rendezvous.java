package org.copperspindle.routing;

/**
 * Weights of rendezvous hashing: for a given key, every process ranks the same identities in the same order.
 */
final class Rendezvous {

    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final int SHIFT = 32;

    private Rendezvous() {}

    /** Returns the weight of an identity for a key. Both arguments must already be hashes. */
    static long weight(long key, long idHash) {
        long mixed = (key ^ idHash) * MIX;
        return (mixed ^ mixed >>> SHIFT) * MIX;
    }
}
