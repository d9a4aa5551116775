package org.copperspindle.gateway;

import java.util.Optional;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Send permits of a single node that owns all limits.
 */
final class SingleNodePermits implements SendPermits.Link {

    private static final String SELF = "n0";

    private SingleNodePermits() {}

    static SendPermits of(UpstreamLimits limits, TimerService timers) {
        return new SendPermits(limits, upstream -> Optional.of(SELF), new SingleNodePermits(), timers);
    }

    @Override
    public String self() {
        return SELF;
    }

    @Override
    public boolean send(String node, WireMessage message) {
        return false;
    }
}
