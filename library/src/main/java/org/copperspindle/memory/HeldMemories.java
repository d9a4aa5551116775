package org.copperspindle.memory;

import java.util.OptionalLong;
import java.util.function.LongSupplier;

import org.copperspindle.measure.LogRateLimiter;

/**
 * Creates memory budgets.
 */
public final class HeldMemories {

    /**
     * Part of the maximum heap that may be held. Half of a heap must stay free for the collector to keep up, and a
     * quarter is taken by tables, connections and requests without large bodies.
     */
    private static final int HEAP_PARTS = 4;

    /** Part of the maximum heap that may be held for operators, upstreams and probes: they are few. */
    private static final int OPERATOR_HEAP_PARTS = 16;

    private static final int MAX_LINES_PER_SECOND = 10;

    /**
     * Part of the process's memory that may be held: 24 MB of 330 MB, as large as a quarter of the heap of 96 MB that
     * such a process has. The rest is needed by the virtual machine, its compiled code, network buffers and threads.
     */
    private static final double PROCESS_SHARE = 24.0 / 330;

    private HeldMemories() {}

    /**
     * Creates a budget.
     *
     * @param budgetBytes size in bytes
     * @param clock       monotonic time in nanoseconds
     * @param log         limits the rate of log lines
     * @return an empty budget
     */
    public static HeldMemory create(long budgetBytes, LongSupplier clock, LogRateLimiter log) {
        return new BudgetedMemory(budgetBytes, clock, log);
    }

    /**
     * Creates the budget of a process for its callers, by the size of its heap.
     *
     * @return an empty budget
     */
    public static HeldMemory ofCallers() {
        return ofHeap(HEAP_PARTS);
    }

    /**
     * Creates a budget for listeners that operators, upstreams and probes call, by the size of the heap. It is apart from
     * that of callers, who could otherwise keep an operator's request out.
     *
     * @return an empty budget
     */
    public static HeldMemory ofOperators() {
        return ofHeap(OPERATOR_HEAP_PARTS);
    }

    private static HeldMemory ofHeap(int parts) {
        LogRateLimiter log = new LogRateLimiter(0, MAX_LINES_PER_SECOND);
        return create(Runtime.getRuntime().maxMemory() / parts, System::nanoTime, log);
    }

    /**
     * Returns the size of a budget.
     *
     * @param processBytes memory that the process may use, in bytes; empty if unknown
     * @param heapBytes    maximum heap in bytes
     * @return bytes
     */
    public static long budgetBytes(OptionalLong processBytes, long heapBytes) {
        long ofHeap = heapBytes / HEAP_PARTS;
        return processBytes.isEmpty() ? ofHeap : Math.min(ofHeap, (long) (processBytes.getAsLong() * PROCESS_SHARE));
    }
}
