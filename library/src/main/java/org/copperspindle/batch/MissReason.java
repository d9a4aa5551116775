package org.copperspindle.batch;

/**
 * Why a piece was not made.
 */
public enum MissReason {
    /** Its time was over before its turn. */
    LATE,
    /** A result that it needs no longer exists. */
    INPUT_GONE,
    /** Its maker had no memory for the result. */
    NO_ROOM,
    /** Its maker failed, or the call was lost. */
    FAILED;

    /**
     * Finds a reason by its number on the wire.
     *
     * @param number ordinal
     * @return the reason; {@link #FAILED} for numbers of a newer build
     */
    static MissReason of(long number) {
        return number >= 0 && number < values().length ? values()[(int) number] : FAILED;
    }
}
