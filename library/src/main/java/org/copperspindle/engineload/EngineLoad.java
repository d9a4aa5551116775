package org.copperspindle.engineload;

/**
 * Load of one engine in a table of the load owner.
 *
 * @param waitingTokens     prompt tokens without a first event, over all nodes
 * @param streams           running streams, over all nodes
 * @param paceThousandths   prompt-reading speed in thousandths of the pool's median
 * @param longestPauseMillis recent longest pause between events in milliseconds
 */
record EngineLoad(long waitingTokens, long streams, long paceThousandths, long longestPauseMillis) {

    /** Pace of an engine that reads as fast as the median of its pool. */
    static final long MEDIAN_PACE = 1000;

    static final EngineLoad NONE = new EngineLoad(0, 0, MEDIAN_PACE, 0);

    /** A smaller change of the pace moves an estimate by less than the tolerance of the choice. */
    private static final long PACE_STEP = 20;

    /** A smaller change of the pause does not matter: pauses are compared with hundreds of milliseconds. */
    private static final long PAUSE_STEP_MILLIS = 50;

    /**
     * A smaller change of the streams does not matter, except between none and some: streams are compared only among
     * engines that a prompt interrupts anyway, where an error of one costs at most one more interrupted stream. Each
     * node adds the streams that it has started since.
     */
    private static final long STREAMS_STEP = 2;

    double pace() {
        return (double) paceThousandths / MEDIAN_PACE;
    }

    /** Returns whether nodes that know the other load should be sent this one with the next regular table. */
    boolean differsFrom(EngineLoad other) {
        return isUrgentAfter(other)
                || (streams == 0) != (other.streams == 0)
                || Math.abs(streams - other.streams) >= STREAMS_STEP;
    }

    /** Returns whether it should be sent between two regular tables as well: changes of streams alone can wait. */
    boolean isUrgentAfter(EngineLoad other) {
        return waitingTokens != other.waitingTokens
                || Math.abs(paceThousandths - other.paceThousandths) >= PACE_STEP
                || Math.abs(longestPauseMillis - other.longestPauseMillis) >= PAUSE_STEP_MILLIS;
    }
}
