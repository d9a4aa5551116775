package org.copperspindle.gateway;

import org.copperspindle.measure.MetricsRegistry;

/**
 * Metrics of the memory held for callers.
 */
final class HeldMemoryMetrics {

    private HeldMemoryMetrics() {}

    static void register(MetricsRegistry metrics, NodeState node) {
        metrics.gauge(
                "memory.held.bytes",
                "Bytes held for callers",
                node,
                n -> n.memory().heldBytes());
        metrics.gauge(
                "memory.held.peak.bytes",
                "Most bytes ever held for callers",
                node,
                n -> n.memory().peakBytes());
        metrics.gauge(
                "memory.budget.bytes",
                "Bytes that may be held for callers",
                node,
                n -> n.memory().budgetBytes());
        metrics.gauge(
                "upstreams.paused",
                "Upstreams that are not read because their callers don't read",
                node,
                n -> n.pausedUpstreams().now());
        metrics.counter(
                "upstream.pauses",
                "Times that an upstream was not read because its caller did not read",
                node,
                n -> n.pausedUpstreams().total());
        metrics.counter(
                "requests.rejected.for.memory",
                "Requests rejected while they arrived because memory was short",
                node,
                n -> n.memory().rejectedRequests());
        metrics.counter(
                "responses.shed",
                "Responses broken off because memory was short",
                node,
                n -> n.memory().shedResponses());
    }
}
