package org.copperspindle.coldstart;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * When this node last sent to each upstream. A window that slides by single sends: with buckets, two bursts at the edges of one
 * would pass.
 */
final class RecentSends {

    /**
     * Sends count for so long. Longer than the second for which upstreams count: two requests that left further apart than a second may
     * arrive closer together.
     */
    private static final long WINDOW_NANOS = Duration.ofMillis(1200).toNanos();

    private final Map<String, Deque<Long>> sends = new HashMap<>();

    void add(String upstream, long now) {
        Deque<Long> times = sends.computeIfAbsent(upstream, id -> new ArrayDeque<>());
        dropOld(times, now);
        times.addLast(now);
        if (sends.size() > 1 && times.size() == 1) {
            sends.values().removeIf(others -> others != times && isOver(others, now));
        }
    }

    int count(String upstream, long now) {
        Deque<Long> times = sends.get(upstream);
        if (times == null) {
            return 0;
        }
        dropOld(times, now);
        return times.size();
    }

    private static void dropOld(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() >= WINDOW_NANOS) {
            times.pollFirst();
        }
    }

    private static boolean isOver(Deque<Long> times, long now) {
        return times.isEmpty() || now - times.peekLast() >= WINDOW_NANOS;
    }
}
