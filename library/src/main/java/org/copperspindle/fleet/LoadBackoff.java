package org.copperspindle.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * When a failed load may be tried again: each time later on the same upstream, and later everywhere once several
 * upstreams have failed, so that a model that can't be loaded anywhere does not use up the weight store's rate.
 */
final class LoadBackoff {

    private static final long FIRST_NANOS = 5_000_000_000L;
    private static final int MAX_DOUBLINGS = 6;
    private static final int FAILURES_BEFORE_SUBJECT = 3;

    private final Map<String, Delay> delays = new HashMap<>();

    void failed(String upstreamId, String subject, long now) {
        longer(upstreamId + " " + subject, 0, now);
        longer(subject, FAILURES_BEFORE_SUBJECT - 1, now);
    }

    void succeeded(String upstreamId, String subject) {
        delays.remove(upstreamId + " " + subject);
        delays.remove(subject);
    }

    void gone(String upstreamId) {
        delays.keySet().removeIf(key -> key.startsWith(upstreamId + " "));
    }

    boolean allows(String subject, long now) {
        return due(subject, now);
    }

    boolean allows(String upstreamId, String subject, long now) {
        return due(upstreamId + " " + subject, now);
    }

    private boolean due(String key, long now) {
        Delay delay = delays.get(key);
        return delay == null || delay.until <= now;
    }

    private void longer(String key, int free, long now) {
        int failures = delays.containsKey(key) ? delays.get(key).failures + 1 : 1;
        int doublings = Math.min(failures - free - 1, MAX_DOUBLINGS);
        delays.put(key, new Delay(failures, doublings < 0 ? now : now + (FIRST_NANOS << doublings)));
    }

    private record Delay(int failures, long until) {}
}
