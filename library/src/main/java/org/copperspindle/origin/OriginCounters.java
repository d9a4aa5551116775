package org.copperspindle.origin;

import java.util.Map;
import java.util.TreeMap;

/**
 * Counts records and queries of stream origins. Used on the network thread only.
 */
public final class OriginCounters {

    private final Map<String, Long> results = new TreeMap<>();
    private long stored;

    void recordStored(int records) {
        stored += records;
    }

    void record(OriginResult result) {
        results.merge(label(result), 1L, Long::sum);
    }

    /**
     * Returns how many records were stored at other nodes.
     *
     * @return a count of streams, not of copies
     */
    public long stored() {
        return stored;
    }

    /**
     * Returns how queries ended.
     *
     * @return counts by result
     */
    public Map<String, Long> results() {
        return results;
    }

    /**
     * Returns the name of a result in metrics and log lines.
     *
     * @param result the result
     * @return its name
     */
    public static String label(OriginResult result) {
        if (result instanceof OriginResult.Recorded) {
            return "recorded";
        }
        return result instanceof OriginResult.OnlyVersion ? "only-version" : "unknown";
    }
}
