package org.copperspindle.control;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A log of one member, in memory only, that commits at once. For tests of other packages.
 */
public final class InMemoryLog implements ReplicatedLog {

    private static final long TERM = 1;

    private final ReplicatedState state;
    private long index;

    /**
     * Creates the log.
     *
     * @param state state to which commands are applied
     */
    public InMemoryLog(ReplicatedState state) {
        this.state = state;
    }

    @Override
    public boolean leads() {
        return true;
    }

    @Override
    public long term() {
        return TERM;
    }

    @Override
    public Optional<String> leaderAddress() {
        return Optional.empty();
    }

    @Override
    public void propose(byte[] command, Consumer<ProposalResult> callback) {
        index++;
        callback.accept(new ProposalResult.Committed(index, state.apply(index, TERM, command)));
    }

    @Override
    public void close() {
        // Nothing is open.
    }
}
