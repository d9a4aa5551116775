package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent durations of requests by route, from the first sending of a request to its end, as this node measures them.
 */
final class RecentDurations {

    /** The newest requests of a route that count: enough to tell shares of a tenth apart. */
    private static final int MAX_SAMPLES = 64;

    /** Upstreams change with their load, so that durations of long ago say little. */
    private static final long MAX_AGE_NANOS = Duration.ofSeconds(60).toNanos();

    private final Map<String, Samples> byRoute = new HashMap<>();

    /**
     * Records a request that has ended.
     *
     * @param route name of its route
     * @param nanos its duration in nanoseconds
     * @param now   monotonic time in nanoseconds
     */
    void observe(String route, long nanos, long now) {
        Samples known = byRoute.get(route);
        if (known == null) {
            // Routes that are gone from the table end no requests.
            byRoute.values().removeIf(samples -> samples.recent(now) == 0);
            known = new Samples();
            byRoute.put(route, known);
        }
        known.add(nanos, now);
    }

    /**
     * Returns the share of recent requests that took longer than a limit. One request that did so is assumed besides
     * those that were observed: with none the share is 1, and one short request does not make it 0.
     *
     * @param route name of a route
     * @param limit duration in nanoseconds
     * @param now   monotonic time in nanoseconds
     * @return share from 0 (exclusive) to 1 (inclusive)
     */
    double shareLongerThan(String route, long limit, long now) {
        Samples known = byRoute.get(route);
        return known == null ? 1 : (known.longer(limit, now) + 1.0) / (known.recent(now) + 1.0);
    }

    /** The newest durations of one route. */
    private static final class Samples {

        private final long[] durations = new long[MAX_SAMPLES];
        private final long[] endedAt = new long[MAX_SAMPLES];
        private int added;

        void add(long nanos, long now) {
            int index = added % MAX_SAMPLES;
            durations[index] = nanos;
            endedAt[index] = now;
            added = added + 1 < 2 * MAX_SAMPLES ? added + 1 : MAX_SAMPLES;
        }

        int recent(long now) {
            return longer(Long.MIN_VALUE, now);
        }

        int longer(long limit, long now) {
            int count = 0;
            for (int i = 0; i < Math.min(added, MAX_SAMPLES); i++) {
                if (now - endedAt[i] < MAX_AGE_NANOS && durations[i] > limit) {
                    count++;
                }
            }
            return count;
        }
    }
}
