package org.copperspindle.replay;

/**
 * A fault of a trace: affects some upstreams for some time.
 *
 * @param fromNanos     start
 * @param untilNanos    end
 * @param effect        effect on the upstreams
 * @param pool          affected pool, empty for all
 * @param failureDomain affected failure domain, empty for all
 * @param count         number of affected upstreams in each pool, in their order; 0 for all
 * @param factor        factor by which work takes longer, for {@link FaultEffect#SLOW}
 * @param lagNanos      delay of load reports, for {@link FaultEffect#LATE_REPORTS}
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
