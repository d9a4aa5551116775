package org.copperspindle.control;

/**
 * State to which the replicated log applies commands. It is deterministic: the same commands in the same order give the
 * same state and the same results on every member.
 */
public interface ReplicatedState {

    /**
     * Applies one committed command.
     *
     * @param index   index of its record in the log
     * @param term    term in which it was proposed
     * @param command its bytes
     * @return result for the proposer
     */
    ControlResult apply(long index, long term, byte[] command);

    /**
     * Takes a snapshot of the whole state.
     *
     * @return bytes that {@link #restore} accepts
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot result of {@link #snapshot}
     */
    void restore(byte[] snapshot);
}
