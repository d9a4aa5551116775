package org.copperspindle.agent;

import java.util.Optional;

/**
 * Health of the upstream as seen by its agent: a pure state machine driven by probes and failed connects. A response
 * that the upstream is leaving counts at once; a missing response counts only when repeated, so that one lost probe
 * does not take an upstream out of service.
 */
final class UpstreamHealth {

    /** Consecutive failures after which the upstream is considered unreachable. */
    static final int FAILURE_LIMIT = 3;

    private State state = State.STARTING;
    private int failures;

    /** Handles the result of a probe, or a failed connect of a call. Returns whether the state changed. */
    boolean onProbe(ProbeResult result) {
        State before = state;
        switch (result) {
            case SERVING -> {
                failures = 0;
                state = State.SERVING;
            }
            case LEAVING -> {
                failures = 0;
                state = State.LEAVING;
            }
            default -> {
                failures++;
                if (failures >= FAILURE_LIMIT) {
                    state = State.UNREACHABLE;
                }
            }
        }
        return state != before;
    }

    State state() {
        return state;
    }

    /** Returns why new work is refused, empty while the upstream serves. */
    Optional<String> refusal() {
        return switch (state) {
            case SERVING -> Optional.empty();
            case STARTING -> Optional.of("upstream-not-seen");
            case LEAVING -> Optional.of("upstream-leaving");
            case UNREACHABLE -> Optional.of("upstream-unreachable");
        };
    }

    /** Result of one probe. */
    enum ProbeResult {
        /** The upstream responded that it accepts work. */
        SERVING,
        /** The upstream responded that it accepts no new work. */
        LEAVING,
        /** The upstream did not respond. */
        SILENT
    }

    /** State of the upstream. */
    enum State {
        /** Not reached yet by this incarnation of the agent. */
        STARTING,
        /** Accepts work. */
        SERVING,
        /** Accepts no new work, as it reported itself. */
        LEAVING,
        /** Unreachable. */
        UNREACHABLE
    }
}
