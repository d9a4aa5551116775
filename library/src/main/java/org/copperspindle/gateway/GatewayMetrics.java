package org.copperspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;

import org.copperspindle.batch.UpstreamPace;
import org.copperspindle.http.HttpExchange;
import org.copperspindle.http.HttpRequestHandler;
import org.copperspindle.measure.LatencyHistogram;
import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.quarantine.QuarantinedRequest;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * Serves the metrics of a node on the network thread, where they are counted as well. The registry is created at the
 * first scrape: most nodes are never scraped, and a restart should not spend time on it.
 */
final class GatewayMetrics implements HttpRequestHandler {

    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";
    private static final int OK = 200;

    private final NodeState node;
    private final AdmissionMetrics admissionMetrics;
    private final OriginMetrics originMetrics;
    private final Set<String> published = new HashSet<>();
    private Optional<MetricsRegistry> registry = Optional.empty();

    GatewayMetrics(NodeState node) {
        this.node = node;
        this.admissionMetrics = new AdmissionMetrics(node.stageStarts());
        this.originMetrics = new OriginMetrics(node.origins(), node.versionHolder());
    }

    @Override
    public void handle(HttpExchange exchange) {
        MetricsRegistry metrics = registry.orElseGet(this::createRegistry);
        publishNew(metrics);
        admissionMetrics.publishNew(metrics);
        originMetrics.publishNew(metrics);
        exchange.respond(OK, CONTENT_TYPE, Map.of(), metrics.scrape().getBytes(StandardCharsets.UTF_8));
    }

    private MetricsRegistry createRegistry() {
        MetricsRegistry metrics = new MetricsRegistry();
        registry = Optional.of(metrics);
        originMetrics.publish(metrics);
        gauge(metrics, "ready", "1 while the node takes new callers", n -> n.isReady() ? 1 : 0);
        gauge(
                metrics,
                "lease.held",
                "1 while a version is in force",
                n -> n.versionHolder().inForce().isPresent() ? 1 : 0);
        gauge(
                metrics,
                "config.version",
                "Version held, in force or not",
                n -> n.versionHolder().version());
        gauge(
                metrics,
                "domains.evacuated",
                "Failure domains whose upstreams get nothing",
                n -> n.versionHolder().evacuations().failureDomains().size());
        gauge(
                metrics,
                "evacuation.revision",
                "Revision of the list of evacuated failure domains; differs between nodes while one is behind",
                n -> n.versionHolder().evacuations().revision());
        publishControlGroup(metrics);
        gauge(metrics, "nodes", "Other nodes that are connected", NodeState::connectedNodes);
        gauge(
                metrics,
                "requests.open",
                "Requests in progress",
                n -> n.counters().open());
        gauge(
                metrics,
                "requests.held",
                "Requests held before their first stage",
                n -> n.stageAdmission().deferredCount());
        gauge(
                metrics,
                "pieces.waiting",
                "Pieces that wait here for an upstream",
                n -> n.batches().waitingPieces());
        gauge(
                metrics,
                "groups.open",
                "Groups of pieces of this node's requests",
                n -> n.batches().openGroups());
        gauge(
                metrics,
                "requests.suspected",
                "Requests under which upstreams ended, held off or not",
                n -> n.quarantine().trackedSuspicions());
        gauge(
                metrics,
                "requests.held.off",
                "Requests that are held off because upstreams ended under them",
                n -> n.quarantine().quarantined().stream()
                        .filter(held -> !held.isPromptPart())
                        .count());
        metrics.counter(
                "permits.unanswered",
                "Questions for a permit to send that got no answer",
                node,
                n -> n.permits().unanswered());
        gauge(
                metrics,
                "prompt.parts.held.off",
                "Prompt parts that are held off because upstreams ended under them",
                n -> n.quarantine().quarantined().stream()
                        .filter(QuarantinedRequest::isPromptPart)
                        .count());
        gauge(
                metrics,
                "node.overloaded",
                "1 while the node limits new connections",
                n -> n.overload().isOverloaded() ? 1 : 0);
        metrics.counter(
                "connections.shed",
                "New connections closed unread, for other nodes",
                node,
                n -> n.overload().shedConnections());
        metrics.counter(
                "upstreams.ended",
                "Upstreams that ended under runs of this node",
                node,
                n -> n.quarantine().terminatedUpstreams());
        gauge(
                metrics,
                "upstreams.limited",
                "Upstreams that have named how many requests a second they take from all nodes together",
                n -> n.limits().count());
        gauge(
                metrics,
                "upstreams.at.rest",
                "Upstreams that want nothing from this node for a while",
                n -> n.backoffs().count(System.nanoTime()));
        admissionMetrics.publish(metrics);
        StandbyMetrics.publish(metrics, node.standby());
        HeldMemoryMetrics.register(metrics, node);
        UpstreamBoundMetrics.register(metrics, node.client().exceededBounds());
        CallerIdMetrics.register(metrics, node.counters());
        gauge(
                metrics,
                "upstreams.stating.load",
                "Upstreams that have stated their load to this node within two seconds",
                n -> n.loads().count(System.nanoTime()));
        metrics.counter(
                "upstream.loads.unreadable",
                "Statements of load that were ignored",
                node,
                n -> n.loads().unreadable());
        gauge(metrics, "heap.bytes", "Heap in use", n -> usedHeap());
        metrics.counter(
                "engine.load.messages.dropped",
                "Messages about engine loads with impossible values",
                node,
                n -> n.engineLoads().droppedMessages());
        metrics.counter("attempts", "Attempts sent", node, n -> n.counters().attempts());
        metrics.counter(
                "attempt.repeats",
                "Attempts beyond the first",
                node,
                n -> n.counters().retries());
        metrics.counter(
                "streams.resumed",
                "Interrupted streams whose callers received events again",
                node,
                n -> n.counters().resumedStreams());
        metrics.counter(
                "streams.resumed.in.time",
                "Interrupted streams whose pause was not longer than their route allows",
                node,
                n -> n.counters().resumedInTime());
        metrics.counter("upstream.connects", "Connections opened to upstreams", node, NodeState::connects);
        return metrics;
    }

    private void publishControlGroup(MetricsRegistry metrics) {
        gauge(
                metrics,
                "leader.term",
                "Term of the leader that this node's member knows",
                n -> n.status().term());
        gauge(
                metrics,
                "control.spare.voters",
                "Voters that the control group can lose before it has no leader; reported by its leader, no number elsewhere",
                n -> n.status().spareVoters().stream()
                        .asDoubleStream()
                        .findFirst()
                        .orElse(Double.NaN));
        gauge(
                metrics,
                "leads",
                "1 while this node leads the control group",
                n -> n.status().leads() ? 1 : 0);
    }

    /** Publishes the series that have appeared since the last scrape. */
    private void publishNew(MetricsRegistry metrics) {
        node.counters()
                .outcomes()
                .forEach((route, outcomes) -> outcomes.keySet().stream()
                        .filter(outcome -> published.add("outcome " + route + ' ' + outcome))
                        .forEach(outcome -> metrics.counter(
                                "requests",
                                "Admitted requests that ended",
                                outcomes,
                                counts -> counts.getOrDefault(outcome, 0L),
                                "route",
                                route,
                                "outcome",
                                outcome)));
        node.counters()
                .accounts()
                .forEach((account, results) -> results.keySet().stream()
                        .filter(result -> published.add("account " + account + ' ' + result))
                        .forEach(result -> metrics.counter(
                                "account.requests",
                                "Admitted requests of a client account that ended",
                                results,
                                counts -> counts.getOrDefault(result, 0L),
                                "account",
                                account,
                                "result",
                                result)));
        publishReasons(
                metrics, "refusals", "Requests not admitted", node.counters().refusals());
        publishCounts(
                metrics,
                "configurations.submitted",
                "Configurations that operators submitted to this node",
                node.counters().submissions(),
                "result");
        publishCounts(
                metrics,
                "engine.placements",
                "Requests placed at engines by their loads",
                node.counters().placements(),
                "placement");
        publishReasons(
                metrics,
                "announcements.ignored",
                "Announcements that name no upstream",
                node.ignoredAnnouncements().counts());
        node.counters()
                .durations()
                .forEach((route, histogram) ->
                        publish(metrics, "request.duration", "Seconds from admission to the end", route, histogram));
        node.counters()
                .waits()
                .forEach((route, histogram) -> publish(
                        metrics, "request.wait", "Seconds from admission to the first attempt", route, histogram));
        node.versionHolder()
                .heldTable()
                .map(RouteTable::pools)
                .ifPresent(pools -> pools.stream()
                        .filter(pool -> published.add("pool " + pool.name()))
                        .forEach(pool -> publishPool(metrics, pool)));
    }

    private void publishReasons(MetricsRegistry metrics, String name, String description, Map<String, Long> counts) {
        publishCounts(metrics, name, description, counts, "reason");
    }

    private void publishCounts(
            MetricsRegistry metrics, String name, String description, Map<String, Long> counts, String label) {
        counts.keySet().stream()
                .filter(reason -> published.add(name + ' ' + reason))
                .forEach(reason ->
                        metrics.counter(name, description, counts, c -> c.getOrDefault(reason, 0L), label, reason));
    }

    private void publishPool(MetricsRegistry metrics, UpstreamPool pool) {
        publishPool(metrics, pool.name());
        if (pool.engineSlots().isPresent()) {
            publishEngines(metrics, pool.name());
        }
    }

    private void publishPool(MetricsRegistry metrics, String pool) {
        metrics.gauge(
                "upstreams.ready",
                "Upstreams that take requests",
                node,
                n -> n.directory().ready(pool).size(),
                "pool",
                pool);
        metrics.gauge(
                "upstreams.cold",
                "Upstreams that bear few requests for a while",
                node,
                n -> n.directory().countCold(pool, System.nanoTime()),
                "pool",
                pool);
        metrics.gauge(
                "pool.wait.seconds",
                "Time until new pieces begin, as this node knows it",
                node,
                n -> n.batches().load(pool).waitNanos() / 1e9,
                "pool",
                pool);
        metrics.gauge(
                "pool.pace.slowest",
                "Time that work takes the slowest upstream by its own figure, 1 as usual",
                node,
                n -> n.loads().slowest(pool, System.nanoTime()).orElse(UpstreamPace.USUAL),
                "pool",
                pool);
        metrics.counter(
                "stage.busy.seconds",
                "Time of upstreams in calls that this node packed: what a stage costs",
                node,
                n -> n.batches().work(pool).busySeconds(),
                "pool",
                pool);
        metrics.counter(
                "stage.pieces",
                "Pieces made in calls that this node packed",
                node,
                n -> n.batches().work(pool).pieces(),
                "pool",
                pool);
        metrics.counter(
                "stage.groups.split",
                "Groups split to fill calls that this node packed while their pool was short",
                node,
                n -> n.batches().work(pool).splitGroups(),
                "pool",
                pool);
        metrics.gauge(
                "retries.left",
                "Repeats that this node may still send in the window",
                node,
                n -> n.retryBudget().remaining(pool, System.nanoTime()),
                "pool",
                pool);
    }

    private void publishEngines(MetricsRegistry metrics, String pool) {
        metrics.gauge(
                "engine.slowest.pace",
                "Prompt-reading speed of the slowest engine, relative to the median of its pool",
                node,
                n -> n.engineLoads().slowestPace(pool),
                "pool",
                pool);
        metrics.gauge(
                "engine.waiting.tokens",
                "Prompt tokens that engines have not read; of this node alone without a fresh table",
                node,
                n -> n.engineLoads().waitingTokens(pool),
                "pool",
                pool);
        metrics.gauge(
                "engine.table.age.seconds",
                "Age of the table of engine loads; negative if there is none",
                node,
                n -> n.engineLoads().tableAgeSeconds(pool),
                "pool",
                pool);
    }

    private void publish(
            MetricsRegistry metrics, String name, String description, String route, LatencyHistogram histogram) {
        if (!published.add(name + ' ' + route)) {
            return;
        }
        for (int bucket = 0; bucket <= LatencyHistogram.bounds(); bucket++) {
            int number = bucket;
            metrics.counter(
                    name + ".within",
                    description + ", by upper bound",
                    histogram,
                    h -> h.atMost(number),
                    "route",
                    route,
                    "le",
                    LatencyHistogram.bound(bucket));
        }
        metrics.counter(name + ".spent", description, histogram, LatencyHistogram::sumSeconds, "route", route);
    }

    private void gauge(MetricsRegistry metrics, String name, String description, ToDoubleFunction<NodeState> value) {
        metrics.gauge(name, description, node, value);
    }

    private static double usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
