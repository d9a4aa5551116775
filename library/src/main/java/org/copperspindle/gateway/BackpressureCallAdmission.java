package org.copperspindle.gateway;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamBackoffs;
import org.copperspindle.batch.CallAdmission;
import org.copperspindle.time.TimerService;

/**
 * Admits calls of stage pools by the limits and backoffs that their upstreams have announced. The dispatcher of a pool
 * owns the limits of its upstreams as well, so that it sends no permit requests.
 */
final class BackpressureCallAdmission implements CallAdmission {

    private final SendPermits permits;
    private final UpstreamBackoffs backoffs;
    private final TimerService timers;

    BackpressureCallAdmission(SendPermits permits, UpstreamBackoffs backoffs, TimerService timers) {
        this.permits = permits;
        this.backoffs = backoffs;
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
        // Called for each upstream whenever a pool is checked: the clock is read only if a backoff is known.
        return backoffs.isAnyKnown() && backoffs.backoffNanos(upstream, timers.nanoTime()) > 0;
    }

    @Override
    public long spacingNanos(String upstream) {
        return permits.spacingNanos(upstream);
    }
}
