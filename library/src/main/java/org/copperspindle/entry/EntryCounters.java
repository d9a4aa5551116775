package org.copperspindle.entry;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters of one entry other than those of its responses. Written on the decision ring, readable from any thread.
 */
public final class EntryCounters {

    private final LongAdder droppedChunks = new LongAdder();
    private final LongAdder droppedOutcomes = new LongAdder();
    private final LongAdder linksLost = new LongAdder();
    private final LongAdder unsentMessages = new LongAdder();
    private final LongAdder slowCallers = new LongAdder();

    void incrementDroppedChunks() {
        droppedChunks.increment();
    }

    void incrementDroppedOutcomes() {
        droppedOutcomes.increment();
    }

    void incrementLinksLost() {
        linksLost.increment();
    }

    void incrementUnsentMessages() {
        unsentMessages.increment();
    }

    void incrementSlowCallers() {
        slowCallers.increment();
    }

    /**
     * Returns the response chunks that were late, duplicate, out of order or of an unknown attempt.
     *
     * @return a count
     */
    public long droppedChunks() {
        return droppedChunks.sum();
    }

    /**
     * Returns the outcomes that were late, duplicate or of an unknown attempt.
     *
     * @return a count
     */
    public long droppedOutcomes() {
        return droppedOutcomes.sum();
    }

    /**
     * Returns the connections to agents that were lost, whether or not attempts were open on them.
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
    public long unsentMessages() {
        return unsentMessages.sum();
    }

    /**
     * Returns the responses aborted because their callers read too slowly.
     *
     * @return a count
     */
    public long slowCallers() {
        return slowCallers.sum();
    }
}
