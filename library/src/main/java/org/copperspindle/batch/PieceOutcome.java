package org.copperspindle.batch;

/**
 * The outcome of one piece.
 */
public sealed interface PieceOutcome {

    /**
     * Returns whether the piece was missed for a given reason.
     *
     * @param reason the reason
     * @return false if it was made, or missed for another reason
     */
    default boolean isMissedFor(MissReason reason) {
        return this instanceof Missed missed && missed.reason() == reason;
    }

    /**
     * The piece was made.
     *
     * @param handle handle of the result at its producer
     */
    record Made(String handle) implements PieceOutcome {}

    /**
     * The piece was not made.
     *
     * @param reason why
     */
    record Missed(MissReason reason) implements PieceOutcome {}
}
