package org.copperspindle.control;

/**
 * How a proposal to the {@link ReplicatedLog} ended.
 */
public sealed interface ProposalResult {

    /**
     * The command is committed and applied.
     *
     * @param index  index of its record
     * @param result what the state answered
     */
    record Committed(long index, ControlResult result) implements ProposalResult {}

    /**
     * The command was not taken and never will be.
     *
     * @param leaderAddress address of the leader, empty if none is known
     */
    record NotTaken(String leaderAddress) implements ProposalResult {}

    /** The leader lost its place while the command was under way: it may or may not be committed. */
    record Unknown() implements ProposalResult {}
}
