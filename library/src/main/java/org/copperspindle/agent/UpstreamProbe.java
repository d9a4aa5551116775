package org.copperspindle.agent;

import java.time.Duration;
import java.util.function.Consumer;

import org.copperspindle.agent.UpstreamHealth.ProbeResult;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Health check of the upstream, repeated at an interval. With a health path, a probe is a GET: status 503 means that
 * the upstream is leaving, any other whole response that it serves. Without one, an established connection suffices and
 * no call is made, because on a plain service a call to any path might have side effects.
 */
final class UpstreamProbe {

    private static final int LEAVING_STATUS = 503;
    private static final int MAX_RESPONSE = 64 << 10;
    private static final int TIMEOUT_INTERVALS = 3;

    private final DecisionRing ring;
    private final TimerService timers;
    private final UpstreamClient client;
    private final String path;
    private final Duration interval;
    private final Consumer<ProbeResult> result;
    private TimerSubscription next = () -> {};
    private TimerSubscription timeout = () -> {};
    private boolean stopped;

    /**
     * Creates a probe.
     *
     * @param ring     decision ring
     * @param timers   timer service
     * @param client   client of the upstream
     * @param path     path to request, empty to connect only
     * @param interval interval of probes; a probe that takes three intervals has failed
     * @param result   receives the result of each probe, on the ring
     */
    UpstreamProbe(
            DecisionRing ring,
            TimerService timers,
            UpstreamClient client,
            String path,
            Duration interval,
            Consumer<ProbeResult> result) {
        this.ring = ring;
        this.timers = timers;
        this.client = client;
        this.path = path;
        this.interval = interval;
        this.result = result;
    }

    void start() {
        if (stopped) {
            return;
        }
        if (path.isEmpty()) {
            client.connectOnly(reached -> report(reached ? ProbeResult.SERVING : ProbeResult.SILENT));
            return;
        }
        Consumer<String> abort = client.call(
                new UpstreamCall(path, new byte[0], "health", "health", true, MAX_RESPONSE),
                new StatusListener(
                        status -> report(status == LEAVING_STATUS ? ProbeResult.LEAVING : ProbeResult.SERVING),
                        () -> report(ProbeResult.SILENT)));
        timeout = timers.schedule(TIMEOUT_INTERVALS * interval.toNanos(), () -> abort.accept("probe timeout"));
    }

    void stop() {
        stopped = true;
        next.cancel();
        timeout.cancel();
    }

    /** Hands the result of a probe over to the ring; called on the network thread, which never blocks on the ring. */
    private void report(ProbeResult seen) {
        ring.offerWithRetry(() -> onResult(seen), client.scheduler());
    }

    private void onResult(ProbeResult seen) {
        timeout.cancel();
        next = timers.schedule(interval.toNanos(), this::start);
        result.accept(seen);
    }
}
