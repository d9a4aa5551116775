package org.copperspindle.control;

/**
 * The state that the replicated log carries. Deterministic: the same commands in the same order give the same state and
 * the same results on every member.
 */
public interface ReplicatedState {

    /**
     * Applies one committed command.
     *
     * @param index   index of its record in the log
     * @param term    term in which it was proposed
     * @param command its bytes
     * @return what the proposer is told
     */
    ControlResult apply(long index, long term, byte[] command);

    /**
     * Takes a snapshot of the whole state.
     *
     * @return bytes that {@link #restore} takes
     */
    byte[] snapshot();

    /**
     * Replaces the whole state.
     *
     * @param snapshot what {@link #snapshot} made
     */
    void restore(byte[] snapshot);
}
