package org.copperspindle.gateway;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts what became of requests. Written on the network thread; read from others, which may see a count a little late.
 */
public final class GatewayCounters {

    private final Map<String, Long> outcomes = new TreeMap<>();
    private int open;
    private long attempts;
    private long repeats;

    void begun() {
        open++;
    }

    void ended(String outcome) {
        open--;
        count(outcome);
    }

    void count(String outcome) {
        outcomes.merge(outcome, 1L, Long::sum);
    }

    void attempt(boolean repeat) {
        attempts++;
        if (repeat) {
            repeats++;
        }
    }

    /**
     * Returns how many requests are in progress.
     *
     * @return a count
     */
    public int open() {
        return open;
    }

    /**
     * Returns how many attempts were sent.
     *
     * @return a count
     */
    public long attempts() {
        return attempts;
    }

    /**
     * Returns how many attempts were repeats.
     *
     * @return a count
     */
    public long repeats() {
        return repeats;
    }

    /**
     * Returns how requests ended.
     *
     * @return counts by outcome
     */
    public Map<String, Long> outcomes() {
        return Map.copyOf(outcomes);
    }
}
