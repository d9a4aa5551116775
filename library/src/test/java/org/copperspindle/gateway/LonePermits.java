package org.copperspindle.gateway;

import java.util.Optional;

import org.copperspindle.backpressure.SendPermits;
import org.copperspindle.backpressure.UpstreamLimits;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.WireMessage;

/**
 * Permits of a node that is alone and keeps all limits itself.
 */
final class LonePermits implements SendPermits.Link {

    private static final String SELF = "n0";

    private LonePermits() {}

    static SendPermits of(UpstreamLimits limits, TimerService timers) {
        return new SendPermits(limits, upstream -> Optional.of(SELF), new LonePermits(), timers);
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
