package org.copperspindle.control;

/**
 * What an operator is told about a change.
 */
public sealed interface ApplyOutcome {

    /**
     * Committed, and in force at every member that serves.
     *
     * @param version the version that the change made
     */
    record Accepted(long version) implements ApplyOutcome {}

    /**
     * Never made by this request, and not made before under this change id either.
     *
     * @param version  version that stands in its way, 0 if none does
     * @param operator who made that version, empty if nobody did
     * @param reason   why
     */
    record Refused(long version, String operator, String reason) implements ApplyOutcome {}

    /**
     * Not taken by this member, which does not lead; nothing of it will happen later.
     *
     * @param leader operators' IP:PORT of the leader, empty if none is known
     */
    record NotTaken(String leader) implements ApplyOutcome {}

    /**
     * Whether the change was made, or whether it is in force everywhere, is not known yet.
     *
     * @param version the version that it made, 0 if that is not known either
     * @param reason  what it waits for
     */
    record Unknown(long version, String reason) implements ApplyOutcome {}
}
