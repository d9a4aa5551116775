package org.copperspindle.control;

import java.util.Optional;
import java.util.function.Consumer;

/**
 * A log of one member without a disk: commits at once and forgets on exit. For tests of other slices.
 */
public final class LocalLog implements ReplicatedLog {

    private static final long TERM = 1;

    private final ReplicatedState state;
    private long index;

    /**
     * Creates the log.
     *
     * @param state what it drives
     */
    public LocalLog(ReplicatedState state) {
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
        // nothing is open
    }
}
