package org.copperspindle.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;

/**
 * Live heap, read after collections.
 */
final class HeapMeter {

    private static final int COLLECTIONS = 3;

    private HeapMeter() {}

    /**
     * Collects and reads.
     *
     * @return live bytes
     */
    static long liveBytes() {
        MemoryMXBean memory = ManagementFactory.getMemoryMXBean();
        for (int i = 0; i < COLLECTIONS; i++) {
            memory.gc();
        }
        return memory.getHeapMemoryUsage().getUsed();
    }
}
