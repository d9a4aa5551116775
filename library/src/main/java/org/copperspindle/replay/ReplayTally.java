package org.copperspindle.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.copperspindle.config.PoolSettings;

/**
 * Counters of one replay: how each request ended, and the cost of each pool.
 */
final class ReplayTally {

    private static final double NANOS_PER_SECOND = 1e9;

    private final List<RequestTally> requests = new ArrayList<>();
    private final Map<String, RequestTally> open = new HashMap<>();
    private final Map<String, Double> costByPool = new TreeMap<>();
    private final Map<String, Integer> missesByReason = new TreeMap<>();
    private long firstAttempts;
    private long extraAttempts;

    /** Records an arrival. */
    void arrived(String requestId, TraceRequest request) {
        RequestTally tally = new RequestTally(request);
        requests.add(tally);
        open.put(requestId, tally);
    }

    /** Records an attempt, the first of its stage or a further one. */
    void attempted(boolean first) {
        if (first) {
            firstAttempts++;
        } else {
            extraAttempts++;
        }
    }

    /** Records that a slot of an upstream was used for a time, and returns the cost. */
    double spent(String requestId, PoolSettings pool, long nanos) {
        double cost = nanos / NANOS_PER_SECOND * pool.costPerSecond() / pool.concurrency();
        costByPool.merge(pool.name(), cost, Double::sum);
        open.get(requestId).cost += cost;
        return cost;
    }

    /** Records the cost of an attempt whose outcome was used. */
    void used(String requestId, double cost) {
        open.get(requestId).usefulCost += cost;
    }

    /** Records the final response. */
    void answered(String requestId, boolean successful, String reason, long now) {
        RequestTally tally = open.get(requestId);
        long durationNanos = now - tally.request.atNanos();
        tally.answeredAt = now;
        tally.attained = successful && durationNanos <= tally.request.deadlineNanos();
        if (!tally.attained) {
            missesByReason.merge(successful ? "late" : reason, 1, Integer::sum);
        }
    }

    List<RequestTally> requests() {
        return requests;
    }

    Map<String, Double> costByPool() {
        return costByPool;
    }

    Map<String, Integer> misses() {
        return missesByReason;
    }

    double cost() {
        return costByPool.values().stream().mapToDouble(Double::doubleValue).sum();
    }

    /** Returns the share of cost that didn't contribute to an attained request. */
    double wasted() {
        double useful = requests.stream()
                .filter(tally -> tally.attained)
                .mapToDouble(tally -> tally.usefulCost)
                .sum();
        return cost() == 0 ? 0 : 1 - useful / cost();
    }

    double extraAttemptShare() {
        return firstAttempts == 0 ? 0 : (double) extraAttempts / firstAttempts;
    }

    /** The counters of one request. */
    static final class RequestTally {
        private final TraceRequest request;
        private boolean attained;
        private long answeredAt = -1;
        private double cost;
        private double usefulCost;

        private RequestTally(TraceRequest request) {
            this.request = request;
        }

        TraceRequest request() {
            return request;
        }

        boolean attained() {
            return attained;
        }

        long answeredAt() {
            return answeredAt;
        }
    }
}
