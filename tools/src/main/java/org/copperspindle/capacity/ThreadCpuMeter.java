package org.copperspindle.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Measures the CPU time of threads of this JVM that are selected by name. Thread names contain the process id, so the
 * processes of a deployment in one JVM can be told apart.
 */
final class ThreadCpuMeter {

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Predicate<String> threadNameFilter;
    private Map<Long, Long> timesAtStart = Map.of();

    ThreadCpuMeter(Predicate<String> threadNameFilter) {
        this.threadNameFilter = threadNameFilter;
    }

    /**
     * Creates a meter for the threads of a process.
     *
     * @param processId id of the process
     * @return the meter
     */
    static ThreadCpuMeter ofProcess(String processId) {
        return new ThreadCpuMeter(name -> name.contains("-" + processId));
    }

    void start() {
        timesAtStart = readTimes();
    }

    /**
     * Returns the CPU time used since {@link #start()}; threads that have terminated since are not counted.
     *
     * @return CPU time in nanoseconds
     */
    long stop() {
        long sum = 0;
        for (Map.Entry<Long, Long> now : readTimes().entrySet()) {
            sum += now.getValue() - timesAtStart.getOrDefault(now.getKey(), 0L);
        }
        return sum;
    }

    private Map<Long, Long> readTimes() {
        Map<Long, Long> times = new HashMap<>();
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            long time = threads.getThreadCpuTime(id);
            if (info != null && time >= 0 && threadNameFilter.test(info.getThreadName())) {
                times.put(id, time);
            }
        }
        return times;
    }
}
