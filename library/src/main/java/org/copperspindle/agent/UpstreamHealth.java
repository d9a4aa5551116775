package org.copperspindle.agent;

import java.util.Optional;

/**
 * What the agent believes of its upstream: a pure state machine fed by probes and by failed connects. One answer by
 * which the upstream says that it is leaving counts at once; silence counts only when repeated, so that one lost probe
 * takes no upstream out of service.
 */
final class UpstreamHealth {

    /** Failures in a row after which the upstream counts as unreachable. */
    static final int FAILURE_LIMIT = 3;

    private State state = State.STARTING;
    private int failures;

    /** A probe ended, or a call could not connect. Returns whether the state changed. */
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

    /** What one probe showed. */
    enum ProbeResult {
        /** It answered that it takes work. */
        SERVING,
        /** It answered that it takes no new work. */
        LEAVING,
        /** It did not answer. */
        SILENT
    }

    /** State of the upstream. */
    enum State {
        /** Not seen yet in this life of the agent. */
        STARTING,
        /** Takes work. */
        SERVING,
        /** Takes no new work, by its own word. */
        LEAVING,
        /** Can't be reached. */
        UNREACHABLE
    }
}
