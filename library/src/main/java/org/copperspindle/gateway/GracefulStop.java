package org.copperspindle.gateway;

import java.time.Duration;

import org.copperspindle.batch.BatchService;
import org.copperspindle.http.HttpListener;
import org.copperspindle.time.TimerService;

/**
 * A planned stop of a node: callers go elsewhere, requests in progress are finished, and what can't be finished within the
 * grace gets its answer before that is over. Network thread only.
 */
final class GracefulStop {

    /** A balancer that asks every second needs two misses to send no new connections. */
    private static final Duration BALANCER_NOTICE = Duration.ofMillis(2600);

    /** Part of the grace after which a request that no upstream has got yet is refused: it needs the rest elsewhere. */
    private static final double UNSENT_SHARE = 0.6;

    /** Left of the grace for last answers to reach their callers and connections to be closed in order. */
    private static final Duration STOP_RESERVE = Duration.ofMillis(450);

    private static final Duration LOOK = Duration.ofMillis(100);

    private final TimerService timers;
    private final GatewayService service;
    private final OpenRequests open;
    private final HttpListener callers;
    private final BatchService batches;

    GracefulStop(
            TimerService timers,
            GatewayService service,
            OpenRequests open,
            HttpListener callers,
            BatchService batches) {
        this.timers = timers;
        this.service = service;
        this.open = open;
        this.callers = callers;
        this.batches = batches;
    }

    /**
     * Begins to stop.
     *
     * @param stopGrace until the process is killed
     * @param done      run once nothing is in progress, or when the grace is nearly over
     */
    void begin(Duration stopGrace, Runnable done) {
        long grace = stopGrace.toNanos();
        long last = grace - STOP_RESERVE.toNanos();
        timers.schedule(BALANCER_NOTICE.toNanos(), service::refuseAll);
        timers.schedule((long) (grace * UNSENT_SHARE), open::refuseUnsent);
        timers.schedule(last, open::abortAll);
        long end = timers.nanoTime() + last;
        timers.schedule(BALANCER_NOTICE.toNanos(), () -> awaitIdle(end, done));
    }

    private void awaitIdle(long end, Runnable done) {
        boolean idle = open.count() == 0
                && batches.waitingPieces() == 0
                && callers.counters().inProgress() == 0;
        if (!idle && timers.nanoTime() - end < 0) {
            timers.schedule(LOOK.toNanos(), () -> awaitIdle(end, done));
            return;
        }
        callers.stopAccepting();
        timers.schedule(LOOK.toNanos(), done);
    }
}
