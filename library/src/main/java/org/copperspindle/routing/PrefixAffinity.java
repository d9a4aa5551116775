package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Hashes the prefix of a prompt, so that requests with the same prefix can be routed to engines that have it cached.
 */
public final class PrefixAffinity {

    /** Length of the hashed prefix; the cache blocks of engines are of this order. */
    public static final int PREFIX_CHARS = 128;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private PrefixAffinity() {}

    /**
     * Hashes the prefix of a prompt.
     *
     * @param prompt the prompt
     * @return the hash; 0 for a prompt that is too short for an affinity
     */
    public static long hash(String prompt) {
        return prompt.length() < PREFIX_CHARS ? 0 : HASH.hashChars(prompt, 0, PREFIX_CHARS);
    }
}
