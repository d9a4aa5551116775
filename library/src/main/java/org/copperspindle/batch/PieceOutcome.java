package org.copperspindle.batch;

/**
 * What became of one piece.
 */
public sealed interface PieceOutcome {

    /**
     * It was made.
     *
     * @param handle names the result at its maker
     */
    record Made(String handle) implements PieceOutcome {}

    /**
     * It was not made.
     *
     * @param reason why
     */
    record Missed(MissReason reason) implements PieceOutcome {}
}
