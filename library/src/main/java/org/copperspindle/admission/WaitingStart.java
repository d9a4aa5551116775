package org.copperspindle.admission;

import java.util.Comparator;

/**
 * A request that waits at the controller, with the times by which it is ordered.
 */
final class WaitingStart {

    /** Order within an account: callers that were refused before first, then by the latest start. */
    static final Comparator<WaitingStart> BY_LATEST_START = Comparator.comparing(
                    (WaitingStart waiting) -> !waiting.request.retried())
            .thenComparing((first, second) -> Long.signum(first.latestStartAt - second.latestStartAt));

    /** Shortest runs that must fit into the time left to a late request: a run that starts late takes longer. */
    private static final int LATE_RUNS = 2;

    private final StartRequest start;
    private final StagedRequest request;
    private final long latestStartAt;
    private final long lastUsefulStartAt;
    private final long costNanos;
    private final long waitsSince;

    WaitingStart(StartRequest start, StartForecast forecast, long now) {
        this.start = start;
        this.request = start.request();
        long shortest = forecast.shortestNanos(request);
        this.latestStartAt = request.objectiveAt() - shortest;
        this.lastUsefulStartAt = request.callerTimeoutAt() - LATE_RUNS * shortest;
        this.costNanos = forecast.costNanos(request);
        this.waitsSince = now;
    }

    StartRequest start() {
        return start;
    }

    StagedRequest request() {
        return request;
    }

    /** Returns the work of the request at its slowest pool, in nanoseconds of that pool. */
    long costNanos() {
        return costNanos;
    }

    /** Returns how long the request has waited here, in nanoseconds. */
    long waitedNanos(long now) {
        return now - waitsSince;
    }

    /** Returns whether a start after the given delay ends within the objective. */
    boolean isTimely(long delayNanos, long now) {
        return now + delayNanos - latestStartAt <= 0;
    }

    /** Returns whether a start still ends before the caller leaves. */
    boolean isUseful(long now) {
        return now - lastUsefulStartAt <= 0;
    }
}
