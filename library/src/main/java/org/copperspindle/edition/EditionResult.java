package org.copperspindle.edition;

/**
 * How a question to the control group ended.
 */
public sealed interface EditionResult {

    /**
     * Committed: the state holds everything that was acknowledged before the question came.
     *
     * @param held all that was accepted
     */
    record Recorded(EditionSnapshotMessage held) implements EditionResult {}

    /**
     * Committed, and changed nothing.
     *
     * @param reason why, for the operator
     */
    record Refused(String reason) implements EditionResult {}

    /** This member does not lead; nothing was recorded. */
    record NotLeading() implements EditionResult {}

    /** The leader lost its place meanwhile: the change may or may not be recorded. */
    record Unknown() implements EditionResult {}
}
