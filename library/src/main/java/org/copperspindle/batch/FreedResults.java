package org.copperspindle.batch;

import java.time.Duration;
import java.util.List;

import org.copperspindle.time.DeferredTask;
import org.copperspindle.time.TimerService;

/**
 * Tells the upstreams of one pool which of their results nobody needs any more, many at once.
 */
final class FreedResults {

    /** Results are given up together this often: a tenth of the shortest time for which they are needed. */
    private static final long FREE_NANOS = Duration.ofMillis(20).toNanos();

    /** An upstream that takes few requests is looked at again this often. */
    private static final long LIMITED_LOOK_NANOS = Duration.ofMillis(60).toNanos();

    private final PoolUpstreams upstreams;
    private final TimerService timers;
    private final StagePort port;
    private final Runnable roomFound;
    private final DeferredTask send;

    /**
     * Creates it.
     *
     * @param upstreams upstreams of the pool
     * @param timers    time
     * @param port      calls them
     * @param roomFound called when an upstream has room again
     */
    FreedResults(PoolUpstreams upstreams, TimerService timers, StagePort port, Runnable roomFound) {
        this.upstreams = upstreams;
        this.timers = timers;
        this.port = port;
        this.roomFound = roomFound;
        this.send = new DeferredTask(timers, this::send);
    }

    void add(List<String> handles) {
        for (String handle : handles) {
            ResultHandle.producerAddress(handle)
                    .flatMap(upstreams::findByAddress)
                    .ifPresent(maker -> maker.free(handle));
        }
        send.schedule(FREE_NANOS);
    }

    private void send() {
        long now = timers.nanoTime();
        for (StageUpstream upstream : upstreams.all()) {
            if (upstreams.isCold(upstream, now) && !upstream.mayFreeWhileCold(now)) {
                send.schedule(StageUpstream.COLD_PAUSE_NANOS);
                continue;
            }
            if (upstream.hasFreed() && !upstreams.mayCall(upstream)) {
                send.schedule(LIMITED_LOOK_NANOS);
                continue;
            }
            List<String> handles = upstream.takeFreed(now);
            // An upstream that is evacuated gets nothing any more; it forgets its results by itself.
            if (!handles.isEmpty() && upstreams.isReady(upstream)) {
                upstreams.frees(upstream);
                port.free(upstream.news(), handles, () -> {
                    upstream.freed(handles);
                    roomFound.run();
                });
            }
        }
    }
}
