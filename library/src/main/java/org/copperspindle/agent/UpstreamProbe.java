package org.copperspindle.agent;

import java.time.Duration;
import java.util.function.Consumer;

import org.copperspindle.agent.UpstreamHealth.ProbeResult;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;

/**
 * Asks the upstream how it is, again and again. With a health path it is a GET: 503 says that the upstream is leaving,
 * any other whole answer that it serves. Without one a connection that stands is enough, and no call is made: on a plain
 * service any path might do something.
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
     * @param timers   time
     * @param client   client of the upstream
     * @param path     path to ask, empty to connect only
     * @param interval time between two probes; one that takes three of them has failed
     * @param result   told what each probe showed, on the ring
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

    /** Hands over what a probe showed; called on the network thread, which never waits for the ring. */
    private void report(ProbeResult seen) {
        ring.offerUntilTaken(() -> take(seen), client.scheduler());
    }

    private void take(ProbeResult seen) {
        timeout.cancel();
        next = timers.schedule(interval.toNanos(), this::start);
        result.accept(seen);
    }
}
