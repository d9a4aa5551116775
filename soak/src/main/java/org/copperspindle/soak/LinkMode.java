package org.copperspindle.soak;

/**
 * What a proxy does with bytes.
 */
enum LinkMode {
    /** Passes them on. */
    PASS,
    /** Passes them on a little later. */
    DELAY,
    /** Keeps those in both directions until another mode is set. */
    SILENCE,
    /** Keeps those towards the target. */
    ONE_WAY
}
