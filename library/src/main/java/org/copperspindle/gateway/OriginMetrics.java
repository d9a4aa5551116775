package org.copperspindle.gateway;

import java.util.HashSet;
import java.util.Set;

import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.origin.OriginCounters;
import org.copperspindle.origin.OriginStoreStatus;
import org.copperspindle.origin.SharedStreamOrigins;
import org.copperspindle.version.VersionHolder;

/**
 * Publishes the metrics of stream origins.
 */
final class OriginMetrics {

    private final SharedStreamOrigins origins;
    private final VersionHolder holder;
    private final Set<String> published = new HashSet<>();

    OriginMetrics(SharedStreamOrigins origins, VersionHolder holder) {
        this.origins = origins;
        this.holder = holder;
    }

    /** Publishes the series that every node has. */
    void publish(MetricsRegistry metrics) {
        metrics.gauge(
                "stream.origins",
                "Streams of which this node knows at which software version they began",
                origins,
                SharedStreamOrigins::size);
        metrics.gauge(
                "stream.origins.informed",
                "1 while this node may conclude from the only version that it knows where a stream began",
                origins,
                o -> o.isInformed() ? 1 : 0);
        metrics.gauge(
                "stream.software.versions",
                "Software versions that are recorded as in use, over all pools",
                holder,
                h -> h.software().count());
        metrics.counter(
                "stream.origins.dropped",
                "Records of such streams that were dropped early",
                origins,
                SharedStreamOrigins::dropped);
        metrics.counter(
                "stream.origins.stored",
                "Streams that this node recorded at other nodes",
                origins.counters(),
                OriginCounters::stored);
        publishStore(metrics);
    }

    /** Publishes what the node stores on its disk, if it has one. */
    private void publishStore(MetricsRegistry metrics) {
        if (origins.storeStatus().isEmpty()) {
            return;
        }
        metrics.counter(
                "stream.origins.synced",
                "Records of such streams that this node has stored on its disk",
                origins,
                o -> status(o).synced());
        metrics.counter(
                "stream.origins.not.synced",
                "Records of such streams that this node could not store on its disk",
                origins,
                o -> status(o).lost());
        metrics.gauge(
                "stream.origins.disk.bytes",
                "Bytes of such records on the disk of this node",
                origins,
                o -> status(o).bytes());
    }

    private static OriginStoreStatus status(SharedStreamOrigins origins) {
        return origins.storeStatus().orElseThrow();
    }

    /** Publishes the results that have occurred since the last scrape. */
    void publishNew(MetricsRegistry metrics) {
        origins.counters().results().keySet().stream()
                .filter(published::add)
                .forEach(result -> metrics.counter(
                        "streams.taken.up",
                        "Streams that callers took up at this node, by what was known of their software version",
                        origins.counters(),
                        c -> c.results().getOrDefault(result, 0L),
                        "origin",
                        result));
    }
}
