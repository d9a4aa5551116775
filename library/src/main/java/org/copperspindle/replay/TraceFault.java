package org.copperspindle.replay;

/**
 * One fault of a trace.
 *
 * @param fromNanos     start
 * @param untilNanos    end
 * @param effect        what happens
 * @param pool          pool that is hit, empty for all
 * @param failureDomain failure domain that is hit, empty for all
 * @param count         upstreams of each pool that are hit, in their order; 0 for all
 * @param factor        how much longer work takes, for {@link FaultEffect#SLOW}
 * @param lagNanos      age of reported load, for {@link FaultEffect#LATE_REPORTS}
 */
public record TraceFault(
        long fromNanos,
        long untilNanos,
        FaultEffect effect,
        String pool,
        String failureDomain,
        int count,
        double factor,
        long lagNanos) {}
