package org.copperspindle.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Processor time of some threads of this JVM, chosen by name; the system names its threads after its processes.
 */
final class ThreadCpuMeter {

    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Predicate<String> chosen;
    private Map<Long, Long> before = Map.of();

    ThreadCpuMeter(Predicate<String> chosen) {
        this.chosen = chosen;
    }

    /**
     * Chooses the threads of a process.
     *
     * @param processId identity of the process
     * @return a meter
     */
    static ThreadCpuMeter ofProcess(String processId) {
        return new ThreadCpuMeter(name -> name.contains("-" + processId));
    }

    void start() {
        before = read();
    }

    /**
     * Returns the time used since {@link #start()}; a thread that ended meanwhile is not counted.
     *
     * @return nanoseconds
     */
    long stop() {
        long sum = 0;
        for (Map.Entry<Long, Long> now : read().entrySet()) {
            sum += now.getValue() - before.getOrDefault(now.getKey(), 0L);
        }
        return sum;
    }

    private Map<Long, Long> read() {
        Map<Long, Long> times = new HashMap<>();
        for (long id : threads.getAllThreadIds()) {
            var info = threads.getThreadInfo(id);
            long time = threads.getThreadCpuTime(id);
            if (info != null && time >= 0 && chosen.test(info.getThreadName())) {
                times.put(id, time);
            }
        }
        return times;
    }
}
