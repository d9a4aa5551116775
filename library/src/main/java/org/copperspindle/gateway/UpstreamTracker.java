package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * What this node observes of each upstream by its own calls: calls in flight, failures, and a pause after consecutive
 * failures. No probes are sent: after a pause a single regular call tests the upstream.
 */
public final class UpstreamTracker {

    private static final Logger LOGGER = LogManager.getLogger(UpstreamTracker.class);

    /** Consecutive failures after which an upstream is paused; a single one can be a lost packet. */
    private static final int FAILURE_THRESHOLD = 2;

    private static final long FIRST_PAUSE_NANOS = Duration.ofMillis(500).toNanos();

    /** Longest pause: a crashed upstream is back within a few seconds. */
    private static final long MAX_PAUSE_NANOS = Duration.ofSeconds(4).toNanos();

    private final Map<String, UpstreamState> upstreams = new HashMap<>();

    /**
     * Records that a call was sent.
     *
     * @param called the incarnation that it was sent to
     * @return the call, which counts for that incarnation alone
     */
    public TrackedCall started(UpstreamIncarnation called) {
        UpstreamState present = upstreams.computeIfAbsent(called.id(), id -> new UpstreamState(called));
        UpstreamState state = present.incarnation.equals(called) ? present : new UpstreamState(called);
        state.inFlight++;
        return new TrackedCall(state);
    }

    /**
     * Returns whether an upstream should get calls.
     *
     * @param id  id of the upstream
     * @param now monotonic time in nanoseconds
     * @return false during a pause, and after it while the call that tests the upstream is in flight
     */
    public boolean isUsable(String id, long now) {
        UpstreamState state = upstreams.get(id);
        if (state == null || !state.paused) {
            return true;
        }
        return now - state.pausedUntil >= 0 && state.inFlight == 0;
    }

    /**
     * Returns the calls of this node that an upstream has in flight.
     *
     * @param id id of the upstream
     * @return a count
     */
    public int inFlight(String id) {
        UpstreamState state = upstreams.get(id);
        return state == null ? 0 : state.inFlight;
    }

    /**
     * Adopts a change of the directory.
     *
     * @param change an upstream that has changed or left
     */
    public void onUpstreamChange(UpstreamRecord change) {
        if (change.phase() == UpstreamPhase.GONE) {
            forget(change.id());
        } else {
            updateIncarnation(change.id(), change.incarnation());
        }
    }

    /**
     * Records the announced incarnation of an upstream. Failures of the previous incarnation say nothing about the
     * new one, which would otherwise stay unused for the rest of the pause; neither do calls that it has in flight.
     *
     * @param id          id of the upstream
     * @param incarnation when the incarnation started
     */
    public void updateIncarnation(String id, long incarnation) {
        UpstreamIncarnation announced = new UpstreamIncarnation(id, incarnation);
        UpstreamState previous = upstreams.get(id);
        if (previous != null && previous.incarnation.equals(announced)) {
            return;
        }
        if (previous != null && previous.paused) {
            LOGGER.info("event=upstream-restarted upstream={} incarnation={}", id, incarnation);
        }
        upstreams.put(id, new UpstreamState(announced));
    }

    /**
     * Removes an upstream that has left.
     *
     * @param id id of the upstream
     */
    public void forget(String id) {
        upstreams.remove(id);
    }

    /** A call to one incarnation of an upstream. Its end counts for no other one. */
    public static final class TrackedCall {
        private final UpstreamState state;

        private TrackedCall(UpstreamState state) {
            this.state = state;
        }

        /**
         * Records that the call succeeded, or was aborted by this node.
         *
         * @param succeeded true if the call showed that the upstream works
         */
        public void ended(boolean succeeded) {
            state.inFlight--;
            if (!succeeded) {
                return;
            }
            if (state.paused) {
                LOGGER.info("event=upstream-back upstream={} failures={}", state.incarnation.id(), state.failures);
            }
            state.failures = 0;
            state.pauses = 0;
            state.paused = false;
        }

        /**
         * Records that the call failed.
         *
         * @param now    monotonic time in nanoseconds
         * @param reason what happened
         */
        public void failed(long now, String reason) {
            state.inFlight--;
            state.failures++;
            if (state.failures < FAILURE_THRESHOLD) {
                return;
            }
            long pause = Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(state.pauses, 3));
            state.pauses++;
            state.paused = true;
            state.pausedUntil = now + pause;
            LOGGER.warn(
                    "event=upstream-suspected upstream={} failures={} reason={} pause_ms={}",
                    state.incarnation.id(),
                    state.failures,
                    reason,
                    Duration.ofNanos(pause).toMillis());
        }
    }

    private static final class UpstreamState {
        private final UpstreamIncarnation incarnation;
        private int inFlight;
        private int failures;
        private int pauses;
        private boolean paused;
        private long pausedUntil;

        private UpstreamState(UpstreamIncarnation incarnation) {
            this.incarnation = incarnation;
        }
    }
}
