package org.copperspindle.gateway;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.batch.CallAdmission;
import org.copperspindle.time.TimerService;

/**
 * Bounds the calls of stage pools by what their upstreams have said of themselves. The node that packs a pool keeps the limits of its
 * upstreams too, so that it asks nobody.
 */
final class RestrainedCalls implements CallAdmission {

    private final SendPermits permits;
    private final UpstreamBackoffs rests;
    private final TimerService timers;

    RestrainedCalls(SendPermits permits, UpstreamBackoffs rests, TimerService timers) {
        this.permits = permits;
        this.rests = rests;
        this.timers = timers;
    }

    @Override
    public boolean mayCall(String upstream) {
        return !isBackingOff(upstream) && permits.mayTake(upstream);
    }

    @Override
    public void recordCall(String upstream) {
        permits.take(upstream);
    }

    @Override
    public boolean isBackingOff(String upstream) {
        // Asked of each upstream whenever a pool is looked at: the clock is read only where somebody rests.
        return rests.isAnyKnown() && rests.backoffNanos(upstream, timers.nanoTime()) > 0;
    }

    @Override
    public long spacingNanos(String upstream) {
        return permits.spacingNanos(upstream);
    }
}
