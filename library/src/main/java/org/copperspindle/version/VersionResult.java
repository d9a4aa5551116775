package org.copperspindle.version;

/**
 * How a question to the control group ended.
 */
public sealed interface VersionResult {

    /**
     * Committed: the state holds everything that was acknowledged before the question came.
     *
     * @param held all that was accepted
     */
    record Recorded(VersionSnapshotMessage held) implements VersionResult {}

    /**
     * Committed, and changed nothing.
     *
     * @param reason why, for the operator
     */
    record Refused(String reason) implements VersionResult {}

    /** This member does not lead; nothing was recorded. */
    record NotLeading() implements VersionResult {}

    /** The leader lost its place meanwhile: the change may or may not be recorded. */
    record Unknown() implements VersionResult {}
}
