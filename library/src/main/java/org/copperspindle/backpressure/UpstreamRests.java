package org.copperspindle.backpressure;

import java.util.HashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamNews;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.measure.DecisionLog;

/**
 * Upstreams that want nothing from this node for a while. Each asks every node by itself, so that other nodes are not told.
 * Network thread only.
 */
public final class UpstreamRests {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamRests.class);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final UpstreamDirectory directory;
    private final DecisionLog log;
    private final Map<String, Rest> rests = new HashMap<>();

    /**
     * Creates it without rests.
     *
     * @param directory the upstreams
     * @param log       bounds log lines
     */
    public UpstreamRests(UpstreamDirectory directory, DecisionLog log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Takes what an answer says.
     *
     * @param upstream id of the upstream that answered
     * @param signal   what the answer says
     * @param now      monotonic time in nanoseconds
     */
    public void answered(String upstream, RestSignal signal, long now) {
        if (signal instanceof RestSignal.Asked asked) {
            asked(upstream, asked, now);
        } else if (signal instanceof RestSignal.Unreadable unreadable && log.takesFailed(now)) {
            LOGGER.warn("event=upstream-rest-unreadable upstream={} value=\"{}\"", upstream, unreadable.text());
        }
    }

    /**
     * Counts the upstreams that are at rest.
     *
     * @param now monotonic time in nanoseconds
     * @return a count
     */
    public long count(long now) {
        return rests.values().stream().filter(rest -> rest.until() - now > 0).count();
    }

    private void asked(String upstream, RestSignal.Asked asked, long now) {
        if (directory.find(upstream).isEmpty()) {
            return;
        }
        long incarnation =
                directory.find(upstream).map(UpstreamNews::incarnation).orElseThrow();
        rests.put(upstream, new Rest(now + asked.rest().toNanos(), incarnation));
        if (log.takesFailed(now)) {
            LOGGER.info(
                    "event=upstream-rest upstream={} rest_ms={}",
                    upstream,
                    asked.rest().toMillis());
        }
    }

    private void upstreamChanged(UpstreamNews news) {
        Rest rest = rests.get(news.id());
        if (rest != null && (news.phase() == UpstreamPhase.GONE || rest.incarnation() != news.incarnation())) {
            rests.remove(news.id());
        }
    }

    /**
     * A rest.
     *
     * @param until       when it ends, monotonic time in nanoseconds
     * @param incarnation life of the upstream that asked for it
     */
    private record Rest(long until, long incarnation) {}
}
