package org.copperspindle.claims;

/**
 * What the claim table decided.
 */
public enum ClaimResult {
    /** The claim is committed; the attempt may be dispatched. */
    GRANTED,
    /** An earlier attempt holds the key: its outcome is the answer. */
    HELD,
    /** The key was used with another body. */
    CONFLICT,
    /** The key is older than the table can judge; it is refused rather than run. */
    EXPIRED,
    /** The claim can't be decided now and was not made. */
    UNAVAILABLE
}
