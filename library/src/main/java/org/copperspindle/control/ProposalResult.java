package org.copperspindle.control;

/**
 * Result of a proposal to the {@link ReplicatedLog}.
 */
public sealed interface ProposalResult {

    /**
     * The command is committed and applied.
     *
     * @param index  index of its record
     * @param result result of applying the command
     */
    record Committed(long index, ControlResult result) implements ProposalResult {}

    /**
     * The command was not accepted and will never be committed.
     *
     * @param leaderAddress address of the leader, empty if none is known
     */
    record NotTaken(String leaderAddress) implements ProposalResult {}

    /** The leader lost its leadership while the command was being replicated: it may or may not be committed. */
    record Unknown() implements ProposalResult {}
}
