package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;

/**
 * What upstreams have stated of their load in their responses to this node, until they leave or restart. Network thread
 * only.
 */
public final class UpstreamLoads {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLoads.class);

    /** Age after which a statement is ignored: the pace of a machine changes many times a second. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(2).toNanos();

    private final UpstreamDirectory directory;
    private final LogRateLimiter log;
    private final Map<String, StatedLoad> loads = new HashMap<>();
    private long unreadable;

    /**
     * Creates the table without loads.
     *
     * @param directory the upstreams
     * @param log       limits the rate of log lines about values that are ignored; not shared with other lines, which
     *                  a flood of such values would suppress
     */
    public UpstreamLoads(UpstreamDirectory directory, LogRateLimiter log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Returns the incarnation of an upstream, to be passed to {@link #onResponse} with the response to a call that is
     * sent now.
     *
     * @param upstream its id
     * @return its incarnation; empty if the upstream is not known
     */
    public OptionalLong incarnation(String upstream) {
        return directory
                .find(upstream)
                .map(known -> OptionalLong.of(known.incarnation()))
                .orElse(OptionalLong.empty());
    }

    /**
     * Handles the load signal of a response. It is ignored if the upstream has left or restarted since the call was
     * sent.
     *
     * @param upstream id of the upstream that responded
     * @param called   its incarnation when the call was sent; empty if it was not known then
     * @param signal   the load signal of the response
     * @param now      monotonic time in nanoseconds
     */
    public void onResponse(String upstream, OptionalLong called, UpstreamLoadSignal signal, long now) {
        if (signal instanceof UpstreamLoadSignal.Unreadable value) {
            onUnreadable(upstream, value, now);
        } else if (signal instanceof UpstreamLoadSignal.Stated stated
                && called.isPresent()
                && called.equals(incarnation(upstream))) {
            loads.computeIfAbsent(upstream, id -> new StatedLoad(called.getAsLong()))
                    .add(stated, now);
        }
    }

    /**
     * Returns how long work takes an upstream, as an exponentially weighted average (half-life one second).
     *
     * @param upstream    its id
     * @param incarnation its incarnation
     * @param now         monotonic time in nanoseconds
     * @return multiple of the usual time; empty if this incarnation has stated none within the last two seconds
     */
    public OptionalDouble pace(String upstream, long incarnation, long now) {
        StatedLoad load = loads.get(upstream);
        boolean isKnown = load != null && load.incarnation() == incarnation;
        return isKnown ? load.pace(now, MAX_AGE_NANOS) : OptionalDouble.empty();
    }

    /**
     * Returns the counts that an upstream has stated last.
     *
     * @param upstream its id
     * @param now      monotonic time in nanoseconds
     * @return its last statement; empty if there is none from the last two seconds
     */
    public Optional<UpstreamLoadSignal.Stated> find(String upstream, long now) {
        return Optional.ofNullable(loads.get(upstream)).flatMap(load -> load.latest(now, MAX_AGE_NANOS));
    }

    /**
     * Returns the number of upstreams that have stated their load within the last two seconds.
     *
     * @param now monotonic time in nanoseconds
     * @return the number of upstreams
     */
    public long count(long now) {
        return loads.values().stream()
                .filter(load -> load.latest(now, MAX_AGE_NANOS).isPresent())
                .count();
    }

    /**
     * Returns the pace of the slowest upstream of a pool.
     *
     * @param pool name of the pool
     * @param now  monotonic time in nanoseconds
     * @return multiple of the usual time; empty if no upstream of the pool has stated one lately
     */
    public OptionalDouble slowest(String pool, long now) {
        return directory.ready(pool).stream()
                .flatMapToDouble(known -> pace(known.id(), known.incarnation(), now).stream())
                .max();
    }

    /**
     * Returns how many values were ignored because they are no load.
     *
     * @return the number of values since this node started
     */
    public long unreadable() {
        return unreadable;
    }

    /**
     * Removes upstreams that are no longer in the directory, which drops silent ones without notifying its listeners.
     * To be called periodically.
     */
    public void removeStale() {
        loads.keySet().removeIf(upstream -> directory.find(upstream).isEmpty());
    }

    private void onUnreadable(String upstream, UpstreamLoadSignal.Unreadable value, long now) {
        unreadable++;
        if (log.allowsFailed(now)) {
            LOGGER.warn("event=upstream-load-unreadable upstream={} value=\"{}\"", upstream, value.text());
        }
    }

    private void upstreamChanged(UpstreamRecord changed) {
        StatedLoad load = loads.get(changed.id());
        if (load != null && changed.endsIncarnation(load.incarnation())) {
            loads.remove(changed.id());
        }
    }
}
