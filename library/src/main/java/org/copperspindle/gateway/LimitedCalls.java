package org.copperspindle.gateway;

import java.util.OptionalDouble;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.batch.CallAdmission;

/**
 * Bounds the calls of stage pools by the limits that their upstreams have named. The node that packs a pool keeps the limits of its
 * upstreams too, so that it asks nobody.
 */
final class LimitedCalls implements CallAdmission {

    private final UpstreamLimits limits;
    private final SendPermits permits;

    LimitedCalls(UpstreamLimits limits, SendPermits permits) {
        this.limits = limits;
        this.permits = permits;
    }

    @Override
    public boolean mayCall(String upstream) {
        return permits.mayTake(upstream);
    }

    @Override
    public void calls(String upstream) {
        permits.take(upstream);
    }

    @Override
    public OptionalDouble perSecond(String upstream) {
        return limits.find(upstream);
    }
}
