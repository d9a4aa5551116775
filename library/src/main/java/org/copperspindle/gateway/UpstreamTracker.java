package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * What this node has seen of each upstream while it used it: calls in flight, failures, and a pause after failures in a
 * row. No probe is sent: traffic itself tells, and a pause that ends lets one call try.
 */
public final class UpstreamTracker {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamTracker.class);

    /** Failures in a row after which an upstream is left alone; a single one can be a lost packet. */
    private static final int FAILURES = 2;

    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    /** Longest pause: a crashed upstream is back within a few seconds. */
    private static final long LONGEST_PAUSE_NANOS = Duration.ofSeconds(4).toNanos();

    private final Map<String, Seen> upstreams = new HashMap<>();

    /**
     * Notes that a call goes out.
     *
     * @param id id of the upstream
     */
    public void started(String id) {
        seen(id).inFlight++;
    }

    /**
     * Notes that a call ended well, or was ended by this side for reasons of its own.
     *
     * @param id      id of the upstream
     * @param proved  true if the upstream showed that it works
     */
    public void ended(String id, boolean proved) {
        Seen seen = seen(id);
        seen.inFlight--;
        if (!proved) {
            return;
        }
        if (seen.paused) {
            LOGGER.info("event=upstream-back upstream={} failures={}", id, seen.failures);
        }
        seen.failures = 0;
        seen.pauses = 0;
        seen.paused = false;
    }

    /**
     * Notes that a call failed.
     *
     * @param id     id of the upstream
     * @param now    monotonic time in nanoseconds
     * @param reason what happened
     */
    public void failed(String id, long now, String reason) {
        Seen seen = seen(id);
        seen.inFlight--;
        seen.failures++;
        if (seen.failures < FAILURES) {
            return;
        }
        long pause = Math.min(LONGEST_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(seen.pauses, 3));
        seen.pauses++;
        seen.paused = true;
        seen.pausedUntil = now + pause;
        LOGGER.warn(
                "event=upstream-suspected upstream={} failures={} reason={} pause_ms={}",
                id,
                seen.failures,
                reason,
                Duration.ofNanos(pause).toMillis());
    }

    /**
     * Says whether an upstream should get calls.
     *
     * @param id  its id
     * @param now monotonic time in nanoseconds
     * @return false during a pause, and after it while one call tries
     */
    public boolean isUsable(String id, long now) {
        Seen seen = upstreams.get(id);
        if (seen == null || !seen.paused) {
            return true;
        }
        return now - seen.pausedUntil >= 0 && seen.inFlight == 0;
    }

    /**
     * Returns how many calls of this node an upstream has.
     *
     * @param id its id
     * @return a count
     */
    public int inFlight(String id) {
        Seen seen = upstreams.get(id);
        return seen == null ? 0 : seen.inFlight;
    }

    /**
     * Notes which life of an upstream announces itself. Failures of the former life say nothing of the new one, which would
     * stay unused for the rest of the pause; calls in flight end by themselves.
     *
     * @param id          its id
     * @param incarnation when that life began
     */
    public void updateIncarnation(String id, long incarnation) {
        Seen seen = seen(id);
        if (seen.incarnation != incarnation && seen.paused) {
            LOGGER.info("event=upstream-restarted upstream={} incarnation={}", id, incarnation);
            seen.failures = 0;
            seen.pauses = 0;
            seen.paused = false;
        }
        seen.incarnation = incarnation;
    }

    /**
     * Forgets an upstream that has left.
     *
     * @param id its id
     */
    public void forget(String id) {
        Seen seen = upstreams.get(id);
        if (seen != null && seen.inFlight == 0) {
            upstreams.remove(id);
        }
    }

    private Seen seen(String id) {
        return upstreams.computeIfAbsent(id, i -> new Seen());
    }

    private static final class Seen {
        private long incarnation;
        private int inFlight;
        private int failures;
        private int pauses;
        private boolean paused;
        private long pausedUntil;
    }
}
