package org.copperspindle.measure;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Bounds how many lines are written about requests. Lines of requests that fail have an allowance of their own, so that
 * a flood of served ones never crowds them out. What was left out is counted and told. Network thread only.
 */
public final class DecisionLog {

    private static final Logger LOGGER = LogManager.getLogger(DecisionLog.class);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final int servedLimit;
    private final int failedLimit;
    private long second;
    private int served;
    private int failed;
    private long droppedServed;
    private long droppedFailed;

    /**
     * Creates a log.
     *
     * @param servedLimit most lines a second of requests that go well
     * @param failedLimit most lines a second of requests that fail or are refused
     */
    public DecisionLog(int servedLimit, int failedLimit) {
        this.servedLimit = servedLimit;
        this.failedLimit = failedLimit;
    }

    /**
     * Asks for a line of a request that goes well so far.
     *
     * @param now monotonic time in nanoseconds
     * @return false if the line is to be left out
     */
    public boolean takesServed(long now) {
        roll(now);
        if (served < servedLimit) {
            served++;
            return true;
        }
        droppedServed++;
        return false;
    }

    /**
     * Asks for a line of a request that fails or is refused.
     *
     * @param now monotonic time in nanoseconds
     * @return false if the line is to be left out
     */
    public boolean takesFailed(long now) {
        roll(now);
        if (failed < failedLimit) {
            failed++;
            return true;
        }
        droppedFailed++;
        return false;
    }

    private void roll(long now) {
        long current = Math.floorDiv(now, NANOS_PER_SECOND);
        if (current == second) {
            return;
        }
        if (droppedServed + droppedFailed > 0) {
            LOGGER.warn("event=lines-dropped served={} failed={}", droppedServed, droppedFailed);
        }
        second = current;
        served = 0;
        failed = 0;
        droppedServed = 0;
        droppedFailed = 0;
    }
}
