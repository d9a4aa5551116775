package org.copperspindle.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.batch.ResultHandle;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * The stage results that a request's upstream fetches, with their sizes.
 *
 * @param bytes approximate size of each result by its handle
 */
record StageInputs(Map<String, Long> bytes) {

    /** A request without stages. */
    static final StageInputs NONE = new StageInputs(Map.of());

    /** Collects results of several stages. */
    static StageInputs of(List<String> handles, long each) {
        Map<String, Long> bytes = new HashMap<>();
        handles.forEach(handle -> bytes.put(handle, each));
        return new StageInputs(bytes);
    }

    StageInputs and(StageInputs other) {
        Map<String, Long> all = new HashMap<>(bytes);
        all.putAll(other.bytes);
        return new StageInputs(all);
    }

    /** Returns the size of all. */
    long total() {
        return bytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the failure domain whose upstreams made most of it. */
    Optional<String> largestDomain(UpstreamDirectory directory) {
        return byDomain(directory).entrySet().stream()
                .max(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey);
    }

    /** Returns how much of it was made in a failure domain. */
    long bytesIn(String domain, UpstreamDirectory directory) {
        return byDomain(directory).getOrDefault(domain, 0L);
    }

    private Map<String, Long> byDomain(UpstreamDirectory directory) {
        Map<String, Long> domains = new HashMap<>();
        bytes.forEach((handle, size) -> ResultHandle.producerAddress(handle)
                .flatMap(directory::findByAddress)
                .map(UpstreamRecord::failureDomain)
                .ifPresent(domain -> domains.merge(domain, size, Long::sum)));
        return domains;
    }
}
