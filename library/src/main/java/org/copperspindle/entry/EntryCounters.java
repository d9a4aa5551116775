package org.copperspindle.entry;

import java.util.concurrent.atomic.LongAdder;

/**
 * What an entry counts besides its answers. Written on the decision ring, readable from any thread.
 */
public final class EntryCounters {

    private final LongAdder droppedChunks = new LongAdder();
    private final LongAdder droppedOutcomes = new LongAdder();
    private final LongAdder linksLost = new LongAdder();
    private final LongAdder notSent = new LongAdder();
    private final LongAdder slowCallers = new LongAdder();

    void droppedChunk() {
        droppedChunks.increment();
    }

    void droppedOutcome() {
        droppedOutcomes.increment();
    }

    void linkLost() {
        linksLost.increment();
    }

    void notSentOnce() {
        notSent.increment();
    }

    void slowCaller() {
        slowCallers.increment();
    }

    /**
     * Returns the pieces that were late, doubled, foreign or out of order.
     *
     * @return a count
     */
    public long droppedChunks() {
        return droppedChunks.sum();
    }

    /**
     * Returns the outcomes that were late, doubled or foreign.
     *
     * @return a count
     */
    public long droppedOutcomes() {
        return droppedOutcomes.sum();
    }

    /**
     * Returns the connections to agents that ended with work open on them or not.
     *
     * @return a count
     */
    public long linksLost() {
        return linksLost.sum();
    }

    /**
     * Returns the messages to agents of which no byte was sent.
     *
     * @return a count
     */
    public long notSent() {
        return notSent.sum();
    }

    /**
     * Returns the answers ended because their callers took them too slowly.
     *
     * @return a count
     */
    public long slowCallers() {
        return slowCallers.sum();
    }
}
