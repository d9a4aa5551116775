package org.copperspindle.claims;

import java.util.Arrays;

/**
 * Decision of the claim table.
 */
public enum ClaimResult {
    /** The claim is committed; the attempt may be dispatched. */
    GRANTED,
    /** An earlier attempt holds the key; its outcome answers the request. */
    HELD,
    /** The attempt was settled as not run and must never be dispatched; a new attempt may claim the key. */
    RELEASED,
    /** The key was used with another body. */
    CONFLICT,
    /** The key ran or may have run, but too long ago for its outcome to be known; it is refused. */
    EXPIRED,
    /** The claim cannot be decided now and was not made; a repeated request may succeed. */
    UNAVAILABLE,
    /** The table is full; the claim was not made. */
    FULL;

    /**
     * Parses the wire representation.
     *
     * @param name name of a result
     * @return the result; {@link #UNAVAILABLE} for an unknown one of a newer control member, because nothing is
     *     dispatched on it
     */
    public static ClaimResult parse(String name) {
        return Arrays.stream(values())
                .filter(result -> result.name().equals(name))
                .findFirst()
                .orElse(UNAVAILABLE);
    }
}
