package org.copperspindle.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Work of the requests that start before another one, by pool, while the waiting requests are looked through in their
 * order. Estimates are made once for all requests of a route with equal pieces.
 */
final class WorkAhead {

    private final StartForecast forecast;
    private final Map<Kind, Estimate> estimates = new HashMap<>();
    private final Map<String, Long> aheadNanos = new HashMap<>();

    WorkAhead(StartForecast forecast) {
        this.forecast = forecast;
    }

    /** Returns the queueing of a request that starts now, in nanoseconds. */
    long queueingNanos(StagedRequest request) {
        return estimate(request).queueingNanos();
    }

    /** Returns the time for which the requests added so far occupy the pools of a request, in nanoseconds. */
    long aheadNanos(StagedRequest request) {
        return estimate(request).costNanos().keySet().stream()
                .mapToLong(pool -> aheadNanos.getOrDefault(pool, 0L))
                .max()
                .orElse(0);
    }

    /** Adds a request that starts before the following ones. */
    void add(StagedRequest request) {
        estimate(request).costNanos().forEach((pool, cost) -> aheadNanos.merge(pool, cost, Long::sum));
    }

    /** Returns the pools that run pieces of a request. */
    static Set<String> pools(StagedRequest request) {
        Set<String> pools = new HashSet<>();
        for (int stage = 0; stage < request.route().stages().size(); stage++) {
            if (request.needsStage(stage)) {
                pools.add(request.stagePool(stage));
            }
        }
        return pools;
    }

    private Estimate estimate(StagedRequest request) {
        return estimates.computeIfAbsent(new Kind(request.route().name(), request.pieces()), kind -> {
            Map<String, Long> costs = new HashMap<>();
            pools(request).forEach(pool -> costs.put(pool, forecast.costNanos(request, pool)));
            return new Estimate(forecast.queueingNanos(request), costs);
        });
    }

    private record Kind(String route, List<Integer> pieces) {}

    private record Estimate(long queueingNanos, Map<String, Long> costNanos) {}
}
