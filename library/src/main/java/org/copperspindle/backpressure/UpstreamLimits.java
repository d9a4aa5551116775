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
import org.copperspindle.measure.DecisionLog;

/**
 * The limits that upstreams have named, to this node or to others. A limit holds until an answer to a call that was sent later
 * lacks it, or until the upstream leaves or starts again. Network thread only.
 */
public final class UpstreamLimits {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLimits.class);

    /** That a limit has ended is remembered for longer than news of it may be on their way. */
    private static final long REMEMBERED_NANOS = Duration.ofSeconds(10).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UpstreamDirectory directory;
    private final DecisionLog log;
    private final Map<String, Limit> limits = new HashMap<>();
    private final List<Consumer<String>> listeners = new ArrayList<>();

    /**
     * Creates it without limits.
     *
     * @param directory the upstreams
     * @param log       bounds log lines
     */
    public UpstreamLimits(UpstreamDirectory directory, DecisionLog log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Adds a listener.
     *
     * @param listener told the id of an upstream whose answer to this node has changed what is known
     */
    public void subscribe(Consumer<String> listener) {
        listeners.add(listener);
    }

    /**
     * Takes what an answer says.
     *
     * @param upstream id of the upstream that answered
     * @param signal   what the answer says
     * @param sentAt   when the call was sent that it answers, monotonic time in nanoseconds
     * @param now      monotonic time in nanoseconds
     */
    public void onResponse(String upstream, LimitSignal signal, long sentAt, long now) {
        if (signal instanceof LimitSignal.Named named) {
            stated(upstream, OptionalDouble.of(named.perSecond()), now);
        } else if (signal instanceof LimitSignal.Absent && isOvertakenBy(upstream, sentAt)) {
            stated(upstream, OptionalDouble.empty(), now);
        } else if (signal instanceof LimitSignal.Unreadable unreadable && log.takesFailed(now)) {
            LOGGER.warn("event=upstream-limit-unreadable upstream={} value=\"{}\"", upstream, unreadable.text());
        }
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream its id
     * @return requests a second from all nodes together; empty if it has none
     */
    public OptionalDouble find(String upstream) {
        Limit limit = limits.get(upstream);
        return limit == null ? OptionalDouble.empty() : limit.perSecond();
    }

    /** Says whether any upstream has, or had a short while ago, a limit. */
    boolean isAnyKnown() {
        return !limits.isEmpty();
    }

    /**
     * Counts the upstreams that have a limit.
     *
     * @return a count
     */
    public int count() {
        return (int) limits.values().stream()
                .filter(limit -> limit.perSecond().isPresent())
                .count();
    }

    /** Takes what another node has read, unless something later is known. */
    void told(LimitRecord news, long now) {
        long statedAt = now - news.ageMillis() * NANOS_PER_MILLI;
        Limit before = limits.get(news.upstream());
        boolean isLate = before != null && before.statedAt() - statedAt > 0;
        boolean isOfThisLife = directory
                .find(news.upstream())
                .filter(known -> known.incarnation() == news.incarnation())
                .isPresent();
        if (isOfThisLife && !isLate) {
            put(news.upstream(), new Limit(news.perSecond(), news.incarnation(), statedAt), "node");
        }
    }

    /** Returns what is known of an upstream, for other nodes. */
    Optional<LimitRecord> news(String upstream, long now) {
        return Optional.ofNullable(limits.get(upstream)).map(limit -> limit.news(upstream, now));
    }

    /** Returns all limits, for a node that has just come. */
    List<LimitRecord> all(long now) {
        return limits.entrySet().stream()
                .map(known -> known.getValue().news(known.getKey(), now))
                .toList();
    }

    private void stated(String upstream, OptionalDouble perSecond, long now) {
        Optional<UpstreamRecord> known = directory.find(upstream);
        if (known.isEmpty()) {
            return;
        }
        Limit limit = new Limit(perSecond, known.get().incarnation(), now);
        if (put(upstream, limit, "answer")) {
            listeners.forEach(listener -> listener.accept(upstream));
        }
    }

    /** Says whether an answer tells something later than what is known: one to an earlier call may have been written before. */
    private boolean isOvertakenBy(String upstream, long sentAt) {
        Limit limit = limits.get(upstream);
        return limit != null && limit.perSecond().isPresent() && sentAt - limit.statedAt() > 0;
    }

    /** Notes a limit or its end; returns whether that is new. */
    private boolean put(String upstream, Limit limit, String from) {
        OptionalDouble before = find(upstream);
        limits.put(upstream, limit);
        if (before.equals(limit.perSecond())) {
            return false;
        }
        LOGGER.info(
                "event=upstream-limit upstream={} per_second={} before={} from={}",
                upstream,
                text(limit.perSecond()),
                text(before),
                from);
        return true;
    }

    private void upstreamChanged(UpstreamRecord news) {
        Limit limit = limits.get(news.id());
        if (limit != null && news.endsIncarnation(limit.incarnation())) {
            limits.remove(news.id());
            LOGGER.info("event=upstream-limit-forgotten upstream={} phase={}", news.id(), news.phase());
        }
    }

    /** Forgets limits that ended a while ago, and those of upstreams that fell silent. */
    void removeStale(long now) {
        limits.entrySet().removeIf(known -> {
            Limit limit = known.getValue();
            boolean isOld = limit.perSecond().isEmpty() && now - limit.statedAt() > REMEMBERED_NANOS;
            // Upstreams that fell silent leave the directory without a word.
            return isOld || directory.find(known.getKey()).isEmpty();
        });
    }

    private static String text(OptionalDouble perSecond) {
        return perSecond.isPresent() ? Double.toString(perSecond.getAsDouble()) : "none";
    }

    /**
     * A limit, or its end.
     *
     * @param perSecond   requests a second from all nodes together; empty once the upstream names none any more
     * @param incarnation life of the upstream that said so
     * @param statedAt    when it said so last, monotonic time in nanoseconds
     */
    private record Limit(OptionalDouble perSecond, long incarnation, long statedAt) {
        private LimitRecord news(String upstream, long now) {
            return new LimitRecord(upstream, incarnation, perSecond, (now - statedAt) / NANOS_PER_MILLI);
        }
    }
}
