package org.copperspindle.gateway;

import org.copperspindle.direct.ExceededBounds;
import org.copperspindle.direct.ResponseBound;
import org.copperspindle.measure.MetricsRegistry;

/**
 * Metrics of upstreams that sent more than they may.
 */
final class UpstreamBoundMetrics {

    private UpstreamBoundMetrics() {}

    static void register(MetricsRegistry metrics, ExceededBounds exceeded) {
        for (ResponseBound bound : ResponseBound.values()) {
            metrics.counter(
                    "upstream.bounds.exceeded",
                    "Connections closed because their upstreams sent more than they may",
                    exceeded,
                    counts -> counts.count(bound),
                    "bound",
                    bound.label());
        }
    }
}
