package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.LogRateLimiter;

/**
 * The limits that upstreams have announced to this node or to others. A limit is valid until a response to a call
 * that was sent later lacks it, or until the upstream leaves or restarts. Network thread only.
 */
public final class UpstreamLimits {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLimits.class);

    /** How long the end of a limit is remembered: longer than records of the limit can be in transit. */
    private static final long ENDED_LIMIT_RETENTION_NANOS =
            Duration.ofSeconds(10).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UpstreamDirectory directory;
    private final LogRateLimiter log;
    private final Map<String, Limit> limits = new HashMap<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();

    /**
     * Creates the table without limits.
     *
     * @param directory the upstreams
     * @param log       limits the rate of log lines
     */
    public UpstreamLimits(UpstreamDirectory directory, LogRateLimiter log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Adds a listener.
     *
     * @param listener is called with the id of an upstream whose response to this node changed its limit
     */
    public void subscribe(Consumer<String> listener) {
        listeners.add(listener);
    }

    /**
     * Handles the limit signal of a response.
     *
     * @param upstream id of the upstream that responded
     * @param signal   the limit signal of the response
     * @param sentAt   when the call was sent, monotonic time in nanoseconds
     * @param now      monotonic time in nanoseconds
     */
    public void onResponse(String upstream, LimitSignal signal, long sentAt, long now) {
        if (signal instanceof LimitSignal.Named named) {
            onAnnouncement(upstream, OptionalDouble.of(named.perSecond()), now);
        } else if (signal instanceof LimitSignal.Absent && isOutdatedBy(upstream, sentAt)) {
            onAnnouncement(upstream, OptionalDouble.empty(), now);
        } else if (signal instanceof LimitSignal.Unreadable unreadable && log.allowsFailed(now)) {
            LOGGER.warn("event=upstream-limit-unreadable upstream={} value=\"{}\"", upstream, unreadable.text());
        }
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream its id
     * @return requests per second from all nodes together; empty if it has none
     */
    public OptionalDouble find(String upstream) {
        Limit limit = limits.get(upstream);
        return limit == null ? OptionalDouble.empty() : limit.perSecond();
    }

    /** Returns whether any upstream has a limit or had one recently. */
    boolean isAnyKnown() {
        return !limits.isEmpty();
    }

    /**
     * Returns the number of upstreams that have a limit.
     *
     * @return the number of upstreams
     */
    public int count() {
        return (int) limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }

    /** Handles a limit that another node received, unless a later one is known. */
    void onRecord(LimitRecord received, long now) {
        long announcedAt = now - received.ageMillis() * NANOS_PER_MILLI;
        Limit before = limits.get(received.upstream());
        boolean isLate = before != null && before.announcedAt() - announcedAt > 0;
        boolean isCurrentIncarnation = directory
                .find(received.upstream())
                .filter(known -> known.incarnation() == received.incarnation())
                .isPresent();
        if (isCurrentIncarnation && !isLate) {
            put(received.upstream(), new Limit(received.perSecond(), received.incarnation(), announcedAt), "node");
        }
    }

    /** Returns the limit of an upstream as a record for other nodes. */
    Optional<LimitRecord> findRecord(String upstream, long now) {
        return Optional.ofNullable(limits.get(upstream)).map(limit -> limit.toRecord(upstream, now));
    }

    /** Returns all limits as records, for a node that has just joined. */
    List<LimitRecord> all(long now) {
        return limits.entrySet().stream()
                .map(known -> known.getValue().toRecord(known.getKey(), now))
                .toList();
    }

    private void onAnnouncement(String upstream, OptionalDouble perSecond, long now) {
        Optional<UpstreamRecord> known = directory.find(upstream);
        if (known.isEmpty()) {
            return;
        }
        Limit limit = new Limit(perSecond, known.get().incarnation(), now);
        if (put(upstream, limit, "answer")) {
            listeners.forEach(listener -> listener.accept(upstream));
        }
    }

    /**
     * Returns whether a response without a limit ends the known limit: a response to an earlier call may have been
     * written before the limit was set.
     */
    private boolean isOutdatedBy(String upstream, long sentAt) {
        Limit limit = limits.get(upstream);
        return limit != null && limit.perSecond().isPresent() && sentAt - limit.announcedAt() > 0;
    }

    /** Stores a limit or its end; returns whether it changed. */
    private boolean put(String upstream, Limit limit, String from) {
        OptionalDouble before = find(upstream);
        limits.put(upstream, limit);
        if (before.equals(limit.perSecond())) {
            return false;
        }
        LOGGER.info(
                "event=upstream-limit upstream={} per_second={} before={} from={}",
                upstream,
                format(limit.perSecond()),
                format(before),
                from);
        return true;
    }

    private void upstreamChanged(UpstreamRecord changed) {
        Limit limit = limits.get(changed.id());
        if (limit != null && changed.endsIncarnation(limit.incarnation())) {
            limits.remove(changed.id());
            LOGGER.info("event=upstream-limit-forgotten upstream={} phase={}", changed.id(), changed.phase());
        }
    }

    /** Removes limits that ended a while ago and limits of upstreams that are no longer in the directory. */
    void removeStale(long now) {
        limits.entrySet().removeIf(known -> {
            Limit limit = known.getValue();
            boolean isOld = limit.perSecond().isEmpty() && now - limit.announcedAt() > ENDED_LIMIT_RETENTION_NANOS;
            // The directory drops silent upstreams without notifying its listeners.
            return isOld || directory.find(known.getKey()).isEmpty();
        });
    }

    private static String format(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /**
     * A limit or the end of one.
     *
     * @param perSecond   requests per second from all nodes together; empty if the upstream announces none any more
     * @param incarnation incarnation of the upstream that announced it
     * @param announcedAt when it was last announced, monotonic time in nanoseconds
     */
    private record Limit(OptionalDouble perSecond, long incarnation, long announcedAt) {
        private LimitRecord toRecord(String upstream, long now) {
            return new LimitRecord(upstream, incarnation, perSecond, (now - announcedAt) / NANOS_PER_MILLI);
        }
    }
}
