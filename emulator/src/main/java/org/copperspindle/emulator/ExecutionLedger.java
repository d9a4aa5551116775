package org.copperspindle.emulator;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts every execution by key, apart from all of the system's own counting, so that doubled and unfounded runs can't
 * hide. Thread-safe.
 */
public final class ExecutionLedger {

    private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();

    /**
     * Records one execution.
     *
     * @param key what was run, normally the caller's own token in the body
     */
    public void ran(String key) {
        executions.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
    }

    /**
     * Returns how often something ran.
     *
     * @param key what was run
     * @return executions, 0 if it never ran
     */
    public int count(String key) {
        AtomicInteger count = executions.get(key);
        return count == null ? 0 : count.get();
    }

    /**
     * Returns all counts.
     *
     * @return executions by key
     */
    public Map<String, AtomicInteger> all() {
        return Map.copyOf(executions);
    }
}
