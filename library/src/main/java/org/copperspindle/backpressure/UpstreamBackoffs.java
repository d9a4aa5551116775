package org.copperspindle.backpressure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;

/**
 * Upstreams that requested a backoff from this node. Each upstream asks every node separately, so backoffs are not
 * sent to other nodes. Network thread only.
 */
public final class UpstreamBackoffs {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamBackoffs.class);

    /**
     * Concurrent requests that an upstream may get at first after its backoff. Otherwise all deferred requests would
     * arrive at the same moment.
     */
    private static final int INITIAL_IN_FLIGHT = 1;

    /** Limit of concurrent requests above which an upstream is no longer limited after a backoff. */
    private static final int MAX_LIMITED_IN_FLIGHT = 32;

    private final UpstreamDirectory directory;
    private final LogRateLimiter log;
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Creates the table without backoffs.
     *
     * @param directory the upstreams
     * @param log       limits the rate of log lines
     */
    public UpstreamBackoffs(UpstreamDirectory directory, LogRateLimiter log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Handles the backoff signal of a response.
     *
     * @param upstream id of the upstream that responded
     * @param signal   the backoff signal of the response
     * @param taken    whether the upstream accepted the request
     * @param now      monotonic time in nanoseconds
     */
    public void onResponse(String upstream, BackoffSignal signal, boolean taken, long now) {
        if (signal instanceof BackoffSignal.Asked requested) {
            onBackoffRequested(upstream, requested, now);
        } else if (signal instanceof BackoffSignal.Absent && taken) {
            onRequestTaken(upstream, now);
        } else if (signal instanceof BackoffSignal.Unreadable unreadable && log.allowsFailed(now)) {
            LOGGER.warn("event=upstream-rest-unreadable upstream={} value=\"{}\"", upstream, unreadable.text());
        }
    }

    /**
     * Returns the remaining backoff of an upstream.
     *
     * @param upstream its id
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds; 0 if it accepts requests
     */
    public long backoffNanos(String upstream, long now) {
        Backoff backoff = backoffs.get(upstream);
        return backoff == null ? 0 : Math.max(0, backoff.until() - now);
    }

    /**
     * Returns whether an upstream may get one more request of this node. After a backoff it gets one request at a
     * time, and the limit doubles with each request that it accepts.
     *
     * @param upstream its id
     * @param inFlight number of requests that it has
     * @param now      monotonic time in nanoseconds
     * @return false during the backoff, or if it has as many requests as it may have after it
     */
    public boolean mayTake(String upstream, int inFlight, long now) {
        Backoff backoff = backoffs.get(upstream);
        return backoff == null || backoff.until() - now <= 0 && inFlight < backoff.maxInFlight();
    }

    /**
     * Returns whether any upstream is in a backoff or recovering from one.
     *
     * @return false if none is limited
     */
    public boolean isAnyKnown() {
        return !backoffs.isEmpty();
    }

    /**
     * Returns the number of upstreams in a backoff.
     *
     * @param now monotonic time in nanoseconds
     * @return the number of upstreams
     */
    public long count(long now) {
        return backoffs.values().stream()
                .filter(backoff -> backoff.until() - now > 0)
                .count();
    }

    /**
     * Removes upstreams that are no longer in the directory, which drops silent ones without notifying its listeners.
     * To be called periodically.
     */
    public void removeStale() {
        backoffs.keySet().removeIf(upstream -> directory.find(upstream).isEmpty());
    }

    private void onBackoffRequested(String upstream, BackoffSignal.Asked requested, long now) {
        Optional<UpstreamRecord> known = directory.find(upstream);
        if (known.isEmpty()) {
            return;
        }
        // Responses can arrive out of order: a shorter backoff that is read later does not end a longer one.
        long until = now + Math.max(requested.duration().toNanos(), backoffNanos(upstream, now));
        backoffs.put(upstream, new Backoff(until, known.get().incarnation(), INITIAL_IN_FLIGHT));
        if (log.allowsFailed(now)) {
            LOGGER.info(
                    "event=upstream-rest upstream={} rest_ms={}",
                    upstream,
                    requested.duration().toMillis());
        }
    }

    /**
     * Records that an upstream accepted a request; during a backoff this says nothing, since the request was sent
     * before it.
     */
    private void onRequestTaken(String upstream, long now) {
        Backoff backoff = backoffs.get(upstream);
        if (backoff == null || backoff.until() - now > 0) {
            return;
        }
        int max = backoff.maxInFlight() * 2;
        if (max > MAX_LIMITED_IN_FLIGHT) {
            backoffs.remove(upstream);
        } else {
            backoffs.put(upstream, new Backoff(backoff.until(), backoff.incarnation(), max));
        }
    }

    private void upstreamChanged(UpstreamRecord changed) {
        Backoff backoff = backoffs.get(changed.id());
        if (backoff != null && changed.endsIncarnation(backoff.incarnation())) {
            backoffs.remove(changed.id());
        }
    }

    /**
     * A backoff of an upstream.
     *
     * @param until       when it ends, monotonic time in nanoseconds
     * @param incarnation incarnation of the upstream that requested it
     * @param maxInFlight concurrent requests that the upstream may get after it
     */
    private record Backoff(long until, long incarnation, int maxInFlight) {}
}
