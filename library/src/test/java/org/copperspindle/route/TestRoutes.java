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

    // Makes a route of one pool without stages.
    public static Route route(String name, String host, String prefix, RouteKind kind, String pool) {
        return route(name, host, prefix, kind, List.of(new WeightedPool(pool, 1)), List.of());
    }

    // Makes a route.
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

    // Makes a pool of plain upstreams.
    public static UpstreamPool pool(String name) {
        return new UpstreamPool(name, 100, Optional.empty(), OptionalInt.empty(), Optional.empty());
    }

    // Makes a stage pool whose calls take 240 ms and 5 ms a piece, 40 pieces at most.
    public static UpstreamPool stagePool(String name) {
        return new UpstreamPool(name, 100, Optional.of(batch(40)), OptionalInt.empty(), Optional.empty());
    }

    // Makes limits of calls of 240 ms and 5 ms a piece.
    public static BatchLimits batch(int most) {
        return new BatchLimits(1, 2, most, 240_000_000L, 5_000_000L, 5_000_000L, 4_000_000_000L, 1_250_000_000L);
    }

    // Makes a table.
    public static RouteTable table(long version, List<Route> routes, List<UpstreamPool> pools) {
        return new RouteTable(version, routes, pools, Optional.empty(), CallerLimits.DEFAULT);
    }
}
