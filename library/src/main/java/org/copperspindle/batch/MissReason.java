package org.copperspindle.batch;

/**
 * Why a piece has no result.
 */
public enum MissReason {
    /** Its deadline passed before it was dispatched. */
    LATE,
    /** An input result that it needs no longer exists. */
    INPUT_GONE,
    /** The upstream had no memory for the result. */
    NO_ROOM,
    /** The upstream failed to run it, or the call was lost. */
    FAILED;

    /**
     * Returns the reason with a given number on the wire.
     *
     * @param number ordinal
     * @return the reason; {@link #FAILED} for numbers of a newer build
     */
    static MissReason of(long number) {
        return number >= 0 && number < values().length ? values()[(int) number] : FAILED;
    }
}
