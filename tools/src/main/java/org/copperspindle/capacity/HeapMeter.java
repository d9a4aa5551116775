package org.copperspindle.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/**
 * Measures the live heap after garbage collections.
 */
final class HeapMeter {

    private static final int COLLECTIONS = 3;

    private HeapMeter() {}

    /**
     * Runs garbage collections and returns the heap still in use.
     *
     * @return size of the live heap in bytes
     */
    static long liveBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
