package org.copperspindle.backpressure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.measure.DecisionLog;

/**
 * Upstreams that want nothing from this node for a while. Each asks every node by itself, so that other nodes are not told.
 * Network thread only.
 */
public final class UpstreamBackoffs {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamBackoffs.class);

    /** Requests that an upstream may have at first after its rest. All that was held back would else come in the same moment. */
    private static final int FIRST_IN_FLIGHT = 1;

    /** With so many requests taken after a rest an upstream is used as any other. */
    private static final int LAST_IN_FLIGHT = 32;

    private final UpstreamDirectory directory;
    private final DecisionLog log;
    private final Map<String, Rest> rests = new HashMap<>();

    /**
     * Creates it without rests.
     *
     * @param directory the upstreams
     * @param log       bounds log lines
     */
    public UpstreamBackoffs(UpstreamDirectory directory, DecisionLog log) {
        this.directory = directory;
        this.log = log;
        directory.subscribe(this::upstreamChanged);
    }

    /**
     * Takes what an answer says.
     *
     * @param upstream id of the upstream that answered
     * @param signal   what the answer says
     * @param taken    whether the upstream took the request that it answers
     * @param now      monotonic time in nanoseconds
     */
    public void onResponse(String upstream, BackoffSignal signal, boolean taken, long now) {
        if (signal instanceof BackoffSignal.Asked asked) {
            asked(upstream, asked, now);
        } else if (signal instanceof BackoffSignal.Absent && taken) {
            recovers(upstream, now);
        } else if (signal instanceof BackoffSignal.Unreadable unreadable && log.takesFailed(now)) {
            LOGGER.warn("event=upstream-rest-unreadable upstream={} value=\"{}\"", upstream, unreadable.text());
        }
    }

    /**
     * Returns how long an upstream still wants nothing from this node.
     *
     * @param upstream its id
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds; 0 if it takes requests
     */
    public long backoffNanos(String upstream, long now) {
        Rest rest = rests.get(upstream);
        return rest == null ? 0 : Math.max(0, rest.until() - now);
    }

    /**
     * Says whether an upstream takes one more request of this node. After a rest it gets one at a time first, and twice as many
     * with each that it takes.
     *
     * @param upstream its id
     * @param inFlight how many it has
     * @param now      monotonic time in nanoseconds
     * @return false while it rests or has what it may have so soon after
     */
    public boolean mayTake(String upstream, int inFlight, long now) {
        Rest rest = rests.get(upstream);
        return rest == null || rest.until() - now <= 0 && inFlight < rest.mostInFlight();
    }

    /**
     * Says whether any upstream rests or has just had a rest.
     *
     * @return false if all take whatever comes
     */
    public boolean isAnyKnown() {
        return !rests.isEmpty();
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

    /** Forgets upstreams that fell silent: they leave the directory without a word. To be called often. */
    public void removeStale() {
        rests.keySet().removeIf(upstream -> directory.find(upstream).isEmpty());
    }

    private void asked(String upstream, BackoffSignal.Asked asked, long now) {
        Optional<UpstreamRecord> known = directory.find(upstream);
        if (known.isEmpty()) {
            return;
        }
        // Answers overtake each other: a shorter rest that is read later does not end a longer one.
        long until = now + Math.max(asked.rest().toNanos(), backoffNanos(upstream, now));
        rests.put(upstream, new Rest(until, known.get().incarnation(), FIRST_IN_FLIGHT));
        if (log.takesFailed(now)) {
            LOGGER.info(
                    "event=upstream-rest upstream={} rest_ms={}",
                    upstream,
                    asked.rest().toMillis());
        }
    }

    /** Notes that an upstream took a request; one that was sent before the rest shows nothing while it lasts. */
    private void recovers(String upstream, long now) {
        Rest rest = rests.get(upstream);
        if (rest == null || rest.until() - now > 0) {
            return;
        }
        int most = rest.mostInFlight() * 2;
        if (most > LAST_IN_FLIGHT) {
            rests.remove(upstream);
        } else {
            rests.put(upstream, new Rest(rest.until(), rest.incarnation(), most));
        }
    }

    private void upstreamChanged(UpstreamRecord news) {
        Rest rest = rests.get(news.id());
        if (rest != null && news.endsIncarnation(rest.incarnation())) {
            rests.remove(news.id());
        }
    }

    /**
     * A rest.
     *
     * @param until        when it ends, monotonic time in nanoseconds
     * @param incarnation  life of the upstream that asked for it
     * @param mostInFlight requests that the upstream may have after it
     */
    private record Rest(long until, long incarnation, int mostInFlight) {}
}
