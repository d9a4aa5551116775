package org.copperspindle.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Hashes the prefix of a prompt, so that requests that share it can meet on the engines that cache it.
 */
public final class PrefixAffinity {

    /** Length of the prefix that counts; caches of engines hold blocks of this order. */
    public static final int PREFIX_CHARS = 128;

    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private PrefixAffinity() {}

    /**
     * Hashes the prefix of a prompt.
     *
     * @param prompt the prompt
     * @return its hash; 0 for a prompt too short to be worth an affinity
     */
    public static long hash(String prompt) {
        return prompt.length() < PREFIX_CHARS ? 0 : HASH.hashChars(prompt, 0, PREFIX_CHARS);
    }
}
