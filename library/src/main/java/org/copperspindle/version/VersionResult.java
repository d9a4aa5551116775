package org.copperspindle.version;

/**
 * Result of an operation on the control group.
 */
public sealed interface VersionResult {

    /**
     * The operation is committed; the state includes everything that was acknowledged before the operation was
     * submitted.
     *
     * @param held the accepted state
     */
    record Recorded(VersionSnapshotMessage held) implements VersionResult {}

    /**
     * The operation is committed but was refused and changed nothing.
     *
     * @param reason reason, for the operator
     */
    record Refused(String reason) implements VersionResult {}

    /**
     * The operation is valid, but there is no room for it now; the same operation may succeed later.
     *
     * @param reason reason, for the operator
     */
    record NoRoom(String reason) implements VersionResult {}

    /** This member is not the leader; nothing was recorded. */
    record NotLeading() implements VersionResult {}

    /** The leader was replaced meanwhile; the change may or may not be recorded. */
    record Unknown() implements VersionResult {}
}
