package org.copperspindle.backpressure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamNews;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.measure.DecisionLog;

/**
 * The limits that upstreams have named. A limit holds until an answer to a call that was sent later lacks it, or until the
 * upstream leaves or starts again. Network thread only.
 */
public final class UpstreamLimits {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamLimits.class);

    private final UpstreamDirectory directory;
    private final DecisionLog log;
    private final Map<String, Limit> limits = new HashMap<>();

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
     * Takes what an answer says.
     *
     * @param upstream id of the upstream that answered
     * @param signal   what the answer says
     * @param sentAt   when the call was sent that it answers, monotonic time in nanoseconds
     * @param now      monotonic time in nanoseconds
     */
    public void answered(String upstream, LimitSignal signal, long sentAt, long now) {
        if (signal instanceof LimitSignal.Named named) {
            named(upstream, named.perSecond(), now);
        } else if (signal instanceof LimitSignal.Absent) {
            absent(upstream, sentAt);
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
        return limit == null ? OptionalDouble.empty() : OptionalDouble.of(limit.perSecond());
    }

    /**
     * Counts the upstreams that have a limit.
     *
     * @return a count
     */
    public int count() {
        return limits.size();
    }

    private void named(String upstream, double perSecond, long now) {
        Limit before = limits.get(upstream);
        Optional<UpstreamNews> known = directory.find(upstream);
        if (known.isEmpty() || before != null && before.perSecond() == perSecond) {
            return;
        }
        long knownAt = before == null ? now : before.knownAt();
        limits.put(upstream, new Limit(perSecond, known.get().incarnation(), knownAt));
        LOGGER.info(
                "event=upstream-limit upstream={} per_second={} before={}",
                upstream,
                perSecond,
                before == null ? "none" : before.perSecond());
    }

    private void absent(String upstream, long sentAt) {
        Limit limit = limits.get(upstream);
        // Answers overtake each other on their connections: one to an earlier call may have been written before the
        // limit.
        if (limit != null && sentAt - limit.knownAt() > 0) {
            forget(upstream, "no-longer-named");
        }
    }

    private void upstreamChanged(UpstreamNews news) {
        Limit limit = limits.get(news.id());
        if (limit == null) {
            return;
        }
        if (news.phase() == UpstreamPhase.GONE) {
            forget(news.id(), "upstream-left");
        } else if (limit.incarnation() != news.incarnation()) {
            forget(news.id(), "upstream-restarted");
        }
    }

    private void forget(String upstream, String reason) {
        limits.remove(upstream);
        LOGGER.info("event=upstream-limit-ended upstream={} reason={}", upstream, reason);
    }

    /**
     * A limit.
     *
     * @param perSecond   requests a second from all nodes together
     * @param incarnation life of the upstream that named it
     * @param knownAt    since when it is known here that the upstream has one
     */
    private record Limit(double perSecond, long incarnation, long knownAt) {}
}
