package org.copperspindle.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Routes and pools for tests.
 */
public final class TestRoutes {

    private TestRoutes() {}

    // Creates a route with one pool and without stages.
    public static Route route(String name, String host, String prefix, RouteKind kind, String pool) {
        return route(name, host, prefix, kind, List.of(new WeightedPool(pool, 1)), List.of());
    }

    // Creates a route.
    public static Route route(
            String name,
            String host,
            String prefix,
            RouteKind kind,
            List<WeightedPool> pools,
            List<RouteStage> stages) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                Duration.ofSeconds(20),
                Duration.ofSeconds(2),
                1,
                pools,
                2,
                stages,
                false,
                false,
                Duration.ofMillis(200));
    }

    // Creates a pool of upstreams without stage calls.
    public static UpstreamPool pool(String name) {
        return new UpstreamPool(name, 100, Optional.empty(), OptionalInt.empty(), Optional.empty());
    }

    // Creates a stage pool whose calls take 240 ms and 5 ms per piece, with at most 40 pieces.
    public static UpstreamPool stagePool(String name) {
        return new UpstreamPool(name, 100, Optional.of(batch(40)), OptionalInt.empty(), Optional.empty());
    }

    // Creates limits of calls that take 240 ms and 5 ms per piece.
    public static BatchLimits batch(int maxPieces) {
        return new BatchLimits(1, 2, maxPieces, 240_000_000L, 5_000_000L, 5_000_000L, 4_000_000_000L, 1_250_000_000L);
    }

    // Creates a table.
    public static RouteTable table(long version, List<Route> routes, List<UpstreamPool> pools) {
        return new RouteTable(version, routes, pools, Optional.empty(), CallerLimits.DEFAULT);
    }
}
