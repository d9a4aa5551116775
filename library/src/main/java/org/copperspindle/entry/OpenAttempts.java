package org.copperspindle.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.limits.AttemptEnd;
import org.copperspindle.limits.AttemptReport;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.time.TimerService;

/**
 * The attempts that one entry waits for, by attempt. Several requests may wait for one attempt: a resend through the
 * same entry follows the first arrival's, and neither may take the outcome from the other.
 */
final class OpenAttempts {

    private final TimerService timers;
    private final EntryPolicy policy;
    private final WaitingRequests line;
    private final Map<String, List<OpenAttempt>> attempts = new HashMap<>();

    OpenAttempts(TimerService timers, EntryPolicy policy, WaitingRequests line) {
        this.timers = timers;
        this.policy = policy;
        this.line = line;
    }

    OpenAttempt add(OpenAttempt attempt) {
        attempts.computeIfAbsent(attempt.id(), id -> new ArrayList<>(1)).add(attempt);
        attempt.open().attempts().add(attempt);
        return attempt;
    }

    List<OpenAttempt> waiting(String attemptId) {
        return List.copyOf(attempts.getOrDefault(attemptId, List.of()));
    }

    List<OpenAttempt> all() {
        return attempts.values().stream().flatMap(List::stream).toList();
    }

    boolean isOpen(OpenAttempt attempt) {
        return attempts.getOrDefault(attempt.id(), List.of()).contains(attempt);
    }

    /**
     * Stops waiting for an attempt and tells the policy.
     *
     * @param attempt  the attempt
     * @param end      how it ended
     * @param inFlight attempts that its agent reported, -1 if none
     */
    void close(OpenAttempt attempt, AttemptEnd end, int inFlight) {
        List<OpenAttempt> waiting = attempts.get(attempt.id());
        waiting.remove(attempt);
        if (waiting.isEmpty()) {
            attempts.remove(attempt.id());
        }
        attempt.open().attempts().remove(attempt);
        attempt.cancelTimers();
        attempt.dispatchedTo().ifPresent(view -> {
            long now = timers.nanoTime();
            long took = now - attempt.since();
            policy.ended(new AttemptReport(attempt.open().request(), attempt.stage(), view, end, took, inFlight), now);
            line.freed(attempt.stage().pool());
        });
    }
}
