package org.copperspindle.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Exponential backoff for failed loads, kept per upstream and subject, and also per subject once it has failed on
 * several upstreams, so that a model that can't be loaded anywhere does not use up the weight store's rate.
 */
final class LoadBackoff {

    private static final long INITIAL_DELAY_NANOS = 5_000_000_000L;
    private static final int MAX_DOUBLINGS = 6;
    private static final int FAILURES_BEFORE_SUBJECT_BACKOFF = 3;

    private final Map<String, Delay> delays = new HashMap<>();

    void failed(String upstreamId, String subject, long now) {
        recordFailure(upstreamId + " " + subject, 0, now);
        recordFailure(subject, FAILURES_BEFORE_SUBJECT_BACKOFF - 1, now);
    }

    void succeeded(String upstreamId, String subject) {
        delays.remove(upstreamId + " " + subject);
        delays.remove(subject);
    }

    void onUpstreamGone(String upstreamId) {
        delays.keySet().removeIf(key -> key.startsWith(upstreamId + " "));
    }

    boolean allows(String subject, long now) {
        return isDue(subject, now);
    }

    boolean allows(String upstreamId, String subject, long now) {
        return isDue(upstreamId + " " + subject, now);
    }

    private boolean isDue(String key, long now) {
        Delay delay = delays.get(key);
        return delay == null || delay.until <= now;
    }

    private void recordFailure(String key, int toleratedFailures, long now) {
        int failures = delays.containsKey(key) ? delays.get(key).failures + 1 : 1;
        int doublings = Math.min(failures - toleratedFailures - 1, MAX_DOUBLINGS);
        delays.put(key, new Delay(failures, doublings < 0 ? now : now + (INITIAL_DELAY_NANOS << doublings)));
    }

    private record Delay(int failures, long until) {}
}
