package org.copperspindle.control;

/**
 * Outcome of a configuration change, as reported to the operator.
 */
public sealed interface ApplyOutcome {

    /**
     * The change is committed, and in force at every member that serves.
     *
     * @param version the version that the change made
     */
    record Accepted(long version) implements ApplyOutcome {}

    /**
     * The change was not made by this request, nor earlier under the same change id.
     *
     * @param version  conflicting version, 0 if there is none
     * @param operator operator who made the conflicting version, empty if there is none
     * @param reason   reason for the refusal
     */
    record Refused(long version, String operator, String reason) implements ApplyOutcome {}

    /**
     * This member does not lead and did not accept the change; it will not be made later either.
     *
     * @param leader IP:PORT of the leader for operators, empty if none is known
     */
    record NotTaken(String leader) implements ApplyOutcome {}

    /**
     * It is not known yet whether the change was made, or whether it is in force everywhere.
     *
     * @param version the version that it made, 0 if that is not known either
     * @param reason  what the change is waiting for
     */
    record Unknown(long version, String reason) implements ApplyOutcome {}
}
