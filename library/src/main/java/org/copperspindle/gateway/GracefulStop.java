package org.copperspindle.gateway;

import java.time.Duration;

import org.copperspindle.batch.BatchService;
import org.copperspindle.http.HttpListener;
import org.copperspindle.time.TimerService;

/**
 * Planned stop of a node: new callers are sent to other nodes, requests in progress are finished, and what cannot be
 * finished within the grace period is answered before it is over. Runs on the network thread only.
 */
final class GracefulStop {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

    private final TimerService timers;
    private final GatewayService service;
    private final OpenRequests openRequests;
    private final HttpListener callers;
    private final BatchService batches;

    GracefulStop(
            TimerService timers,
            GatewayService service,
            OpenRequests openRequests,
            HttpListener callers,
            BatchService batches) {
        this.timers = timers;
        this.service = service;
        this.openRequests = openRequests;
        this.callers = callers;
        this.batches = batches;
    }

    /**
     * Begins the stop.
     *
     * @param stopGrace time until the process is killed
     * @param done      run once nothing is in progress or the grace period is nearly over
     */
    void begin(Duration stopGrace, Runnable done) {
        long now = timers.nanoTime();
        StopSchedule schedule = StopSchedule.of(now, stopGrace);
        openRequests.beginStop(schedule);
        timers.schedule(schedule.refuseAllAt() - now, service::refuseAll);
        timers.schedule(schedule.refuseUnsentAt() - now, openRequests::refuseLate);
        timers.schedule(schedule.abortAt() - now, openRequests::abortAll);
        poll(schedule, done);
    }

    private void poll(StopSchedule schedule, Runnable done) {
        openRequests.refuseLate();
        long now = timers.nanoTime();
        boolean mayEnd = now - schedule.refuseAllAt() >= 0 && isIdle();
        if (!mayEnd && now - schedule.abortAt() < 0) {
            timers.schedule(POLL_INTERVAL.toNanos(), () -> poll(schedule, done));
            return;
        }
        callers.stopAccepting();
        timers.schedule(POLL_INTERVAL.toNanos(), done);
    }

    private boolean isIdle() {
        return openRequests.count() == 0
                && batches.waitingPieces() == 0
                && callers.counters().inProgress() == 0;
    }
}
