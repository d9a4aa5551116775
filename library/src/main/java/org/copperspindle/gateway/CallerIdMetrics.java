package org.copperspindle.gateway;

import org.copperspindle.measure.MetricsRegistry;

/**
 * Metrics of calls that were not sent because they are of no request in progress.
 */
final class CallerIdMetrics {

    private CallerIdMetrics() {}

    static void register(MetricsRegistry metrics, GatewayCounters counters) {
        for (RequestDifference difference : RequestDifference.values()) {
            metrics.counter(
                    "calls.of.no.caller",
                    "Calls that were not sent because no request in progress has their id, method and target",
                    counters,
                    counts -> counts.rejectedCalls(difference),
                    "differs",
                    difference.label());
        }
    }
}
