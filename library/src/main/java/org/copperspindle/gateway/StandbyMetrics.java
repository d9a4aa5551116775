package org.copperspindle.gateway;

import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.standby.StandbyDispatchers;
import org.copperspindle.standby.TakeoverCounters;

/**
 * Publishes the metrics of takeovers by this node.
 */
final class StandbyMetrics {

    private StandbyMetrics() {}

    /** Publishes the series that every node has. */
    static void publish(MetricsRegistry metrics, StandbyDispatchers standby) {
        TakeoverCounters counters = standby.counters();
        metrics.counter(
                "dispatch.takeovers",
                "Pools that this node has taken over from a silent dispatcher",
                counters,
                TakeoverCounters::takeovers);
        metrics.gauge(
                "dispatch.takeovers.active",
                "Pools that this node dispatches instead of their dispatchers",
                counters,
                TakeoverCounters::active);
        metrics.counter(
                "dispatch.messages.dropped",
                "Heartbeats and announcements of takeovers that were malformed or not from the responsible node",
                counters,
                TakeoverCounters::droppedMessages);
    }
}
