package org.copperspindle.gateway;

import org.copperspindle.time.TimerService;

/**
 * Measures how long a request is at upstreams, from its first sending to its end, repeats included.
 */
final class UpstreamTime {

    private final TimerService timers;
    private final OpenRequests openRequests;
    private final AdmittedRequest admitted;
    private boolean begun;
    private long begunAt;

    UpstreamTime(GatewayContext context, AdmittedRequest admitted) {
        this.timers = context.timers();
        this.openRequests = context.openRequests();
        this.admitted = admitted;
    }

    /** Marks that the request is sent now; only the first call counts. */
    void begin() {
        if (!begun) {
            begun = true;
            begunAt = timers.nanoTime();
        }
    }

    /** Records the end of a request whose upstream has answered it, or took all of its time. */
    void recordEnd() {
        if (begun) {
            long now = timers.nanoTime();
            openRequests.recordDuration(admitted.route(), now - begunAt, now);
        }
    }
}
