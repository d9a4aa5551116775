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
 * The attempts that one entry waits for, by attempt id. Several requests may wait for the same attempt: a resend
 * through the same entry waits for the attempt of the first request, and each must receive the outcome.
 */
final class OpenAttempts {

    private final TimerService timers;
    private final EntryPolicy policy;
    private final WaitingRequests waitingRequests;
    private final Map<String, List<OpenAttempt>> attempts = new HashMap<>();

    OpenAttempts(TimerService timers, EntryPolicy policy, WaitingRequests waitingRequests) {
        this.timers = timers;
        this.policy = policy;
        this.waitingRequests = waitingRequests;
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
     * Stops waiting for an attempt and reports its end to the policy.
     *
     * @param attempt  the attempt
     * @param end      how it ended
     * @param inFlight attempts in flight that its agent reported, -1 if not reported
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
            long duration = now - attempt.since();
            policy.onAttemptEnded(
                    new AttemptReport(attempt.open().request(), attempt.stage(), view, end, duration, inFlight), now);
            waitingRequests.onCapacity(attempt.stage().pool());
        });
    }
}
