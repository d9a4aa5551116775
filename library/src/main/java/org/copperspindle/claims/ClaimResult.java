package org.copperspindle.claims;

import java.util.Arrays;

/**
 * What the claim table decided.
 */
public enum ClaimResult {
    /** The claim is committed; the attempt may be dispatched. */
    GRANTED,
    /** An earlier attempt holds the key: its outcome is the answer. */
    HELD,
    /** The attempt was settled as not run and must never be dispatched; a new attempt may claim the key. */
    RELEASED,
    /** The key was used with another body. */
    CONFLICT,
    /** The key ran or may have run, too long ago for its outcome to be known; it is refused rather than run. */
    EXPIRED,
    /** The claim can't be decided now and was not made; asking again may help. */
    UNAVAILABLE,
    /** The table is full; the claim was not made. */
    FULL;

    /**
     * Parses the wire form.
     *
     * @param name name of a result
     * @return the result; {@link #UNAVAILABLE} for one that a newer control member might send, as nothing is dispatched
     *     on it
     */
    public static ClaimResult parse(String name) {
        return Arrays.stream(values())
                .filter(result -> result.name().equals(name))
                .findFirst()
                .orElse(UNAVAILABLE);
    }
}
