package org.copperspindle.batch;

import java.time.Duration;
import java.util.List;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Notifies the upstreams of one pool in batches which of their results are no longer needed.
 */
final class ResultReleaser {

    private static final Logger LOGGER = LogManager.getLogger(ResultReleaser.class);

    /** Interval in which releases are batched: a tenth of the shortest time for which results are needed. */
    private static final long RELEASE_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Retry interval for an upstream whose request rate is limited. */
    private static final long LIMITED_RETRY_NANOS = Duration.ofMillis(60).toNanos();

    private final PoolUpstreams upstreams;
    private final TimerService timers;
    private final StagePort port;
    private final Runnable onMemoryFreed;
    private final DeferredTask send;

    /**
     * Creates the releaser for one pool.
     *
     * @param upstreams     upstreams of the pool
     * @param timers        timers of the network thread
     * @param port          sends the releases
     * @param onMemoryFreed called when an upstream has free memory again
     */
    ResultReleaser(PoolUpstreams upstreams, TimerService timers, StagePort port, Runnable onMemoryFreed) {
        this.upstreams = upstreams;
        this.timers = timers;
        this.port = port;
        this.onMemoryFreed = onMemoryFreed;
        this.send = new DeferredTask(timers, this::send);
    }

    /** Releases results at the upstreams that hold them; those of an upstream that is gone went with it. */
    void add(List<StageResult> results) {
        for (StageResult result : results) {
            upstreams.findHolder(result).ifPresent(producer -> producer.addRelease(result.handle()));
        }
        send.schedule(RELEASE_INTERVAL_NANOS);
    }

    /** Accounts for results that another node releases. */
    void recordReleased(List<StageResult> results) {
        for (StageResult result : results) {
            upstreams.findHolder(result).ifPresent(producer -> producer.onReleased(List.of(result.handle())));
        }
        onMemoryFreed.run();
    }

    private void send() {
        long now = timers.nanoTime();
        for (StageUpstream upstream : upstreams.all()) {
            if (upstreams.isCold(upstream, now) && !upstream.mayReleaseWhileCold(now)) {
                send.schedule(StageUpstream.COLD_PAUSE_NANOS);
                continue;
            }
            if (upstream.hasPendingReleases() && !upstreams.mayCall(upstream)) {
                send.schedule(LIMITED_RETRY_NANOS);
                continue;
            }
            List<String> handles = upstream.takePendingReleases(now);
            // An evacuated upstream gets no further calls; its results expire by themselves.
            if (!handles.isEmpty() && upstreams.isReady(upstream)) {
                upstreams.recordRelease(upstream);
                LOGGER.debug(
                        "event=results-released upstream={} pool={} handles={}",
                        upstream.announced().id(),
                        upstream.announced().pool(),
                        handles);
                port.releaseResults(upstream.announced(), handles, () -> {
                    upstream.onReleased(handles);
                    onMemoryFreed.run();
                });
            }
        }
    }
}
