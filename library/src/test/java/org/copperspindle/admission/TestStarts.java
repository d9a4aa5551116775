package org.copperspindle.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.stream.IntStream;

import org.copperspindle.batch.PoolLoad;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.CallerLimits;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.route.WeightedPool;

/** Requests with stages for tests. Calls take 240 ms and 20 ms per piece, with at most 10 pieces. */
final class TestStarts {

    static final long MILLI = 1_000_000L;

    static final BatchLimits LIMITS =
            new BatchLimits(1, 2, 10, 240 * MILLI, 20 * MILLI, 1_000_000, 4000 * MILLI, 1_250_000_000L);

    private TestStarts() {}

    // Creates a route whose stages use the pools one after the other.
    static Route route(String name, int rank, long objectiveMillis, long timeoutMillis, String... pools) {
        List<RouteStage> stages = IntStream.range(0, pools.length)
                .mapToObj(i -> new RouteStage(pools[i], i == 0 ? List.of() : List.of(i - 1), 10))
                .toList();
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RouteKind.STREAM,
                Duration.ofMillis(timeoutMillis),
                Duration.ofMillis(objectiveMillis),
                rank,
                List.of(new WeightedPool("engines", 1)),
                2,
                stages,
                true,
                false,
                Duration.ofMillis(200));
    }

    static RouteTable table(Route... routes) {
        List<UpstreamPool> pools =
                List.of(new UpstreamPool("engines", 1, Optional.empty(), OptionalInt.empty(), Optional.empty()));
        return new RouteTable(1, List.of(routes), pools, Optional.empty(), CallerLimits.DEFAULT);
    }

    // Creates a request with four pieces of each stage that arrives at a time.
    static Staged request(Route route, String account, boolean retried, long admittedAt) {
        List<Integer> pieces = route.stages().stream().map(stage -> 4).toList();
        return new Staged(
                route,
                pieces,
                account,
                admittedAt,
                admittedAt + route.objective().toNanos(),
                admittedAt + route.timeout().toNanos(),
                retried);
    }

    static LoadForecast forecast(Function<String, PoolLoad> loads, long[] clock) {
        return new LoadForecast(loads, new FirstEventLatencies(), () -> clock[0]);
    }

    /** A request whose rank is that of its route. */
    record Staged(
            Route route,
            List<Integer> pieces,
            String accountName,
            long admittedAt,
            long objectiveAt,
            long callerTimeoutAt,
            boolean retried)
            implements StagedRequest {

        @Override
        public int rank() {
            return route.priority();
        }

        @Override
        public Optional<BatchLimits> stageLimits(int stage) {
            return Optional.of(LIMITS);
        }
    }
}
