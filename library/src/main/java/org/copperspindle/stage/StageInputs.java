package org.copperspindle.stage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.batch.StageResult;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * The stage results that the upstream of a request fetches, with their sizes.
 *
 * @param bytes approximate size of each result
 */
public record StageInputs(Map<StageResult, Long> bytes) {

    /** Inputs of a request without stages. */
    public static final StageInputs NONE = new StageInputs(Map.of());

    /** Creates inputs from results of the same size. */
    public static StageInputs of(List<StageResult> results, long bytesEach) {
        Map<StageResult, Long> bytes = new HashMap<>();
        results.forEach(result -> bytes.put(result, bytesEach));
        return new StageInputs(bytes);
    }

    /**
     * Returns these inputs together with others.
     *
     * @param other the others
     * @return all of them
     */
    public StageInputs plus(StageInputs other) {
        Map<StageResult, Long> all = new HashMap<>(bytes);
        all.putAll(other.bytes);
        return new StageInputs(all);
    }

    /** Returns the total size in bytes. */
    public long totalBytes() {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the failure domain in which most of the bytes were produced. */
    public Optional<String> largestDomain(UpstreamDirectory directory) {
        return byDomain(directory).entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    /** Returns how many of the bytes were produced in a failure domain. */
    public long bytesIn(String domain, UpstreamDirectory directory) {
        return byDomain(directory).getOrDefault(domain, 0L);
    }

    /** Returns whether a producer of any result has been replaced, and the result is lost with it. */
    public boolean isLost(UpstreamDirectory directory) {
        return bytes.keySet().stream().anyMatch(result -> directory.isReplaced(result.producer()));
    }

    private Map<String, Long> byDomain(UpstreamDirectory directory) {
        Map<String, Long> domains = new HashMap<>();
        bytes.forEach((result, size) -> directory
                .find(result.producer())
                .map(UpstreamRecord::failureDomain)
                .ifPresent(domain -> domains.merge(domain, size, Long::sum)));
        return domains;
    }
}
