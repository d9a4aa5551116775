package org.copperspindle.route;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class RouteTableCheckTest {

    private static final Route VALID = TestRoutes.route("good", "h", "/a/", RouteKind.SAFE, "p");
    private static final List<UpstreamPool> POOLS = List.of(TestRoutes.pool("p"), TestRoutes.stagePool("s"));

    static Stream<Arguments> invalidRoutes() {
        return Stream.of(
                arguments(TestRoutes.route("bad", "h", "/b/", RouteKind.SAFE, "q"), "unknown pool q"),
                arguments(TestRoutes.route("bad", "h", "/a/", RouteKind.SAFE, "p"), "same host and path prefix"),
                arguments(TestRoutes.route("bad", "h", "/b", RouteKind.SAFE, "p"), "slash"),
                arguments(weighted(new WeightedPool("p", 0), new WeightedPool("s", 0)), "weights add up to 0"),
                arguments(weighted(new WeightedPool("p", -1), new WeightedPool("s", 2)), "negative"),
                arguments(withoutTimeout(), "timeout must be above 0"),
                arguments(staged(new RouteStage("p", List.of(), 1)), "runs no pieces"),
                arguments(staged(new RouteStage("q", List.of(), 1)), "unknown pool q"),
                arguments(staged(new RouteStage("s", List.of(3), 1)), "does not have"),
                arguments(
                        staged(new RouteStage("s", List.of(1), 1), new RouteStage("s", List.of(0), 1)), "in a circle"));
    }

    @ParameterizedTest
    @MethodSource("invalidRoutes")
    void rejectsTheWholeTableAndNamesTheRoute(Route invalid, String problem) {
        RouteTable table = TestRoutes.table(1, List.of(VALID, invalid), POOLS);
        assertThat(RouteTableCheck.findProblem(table, List.of("p", "s")))
                .hasValueSatisfying(text -> assertThat(text).contains("bad").contains(problem));
    }

    @Test
    void acceptsStagesInAnyOrderWithoutACycle() {
        Route route = staged(new RouteStage("s", List.of(1), 1), new RouteStage("s", List.of(), 1));
        assertThat(RouteTableCheck.findProblem(TestRoutes.table(1, List.of(route), POOLS), List.of("p", "s")))
                .isEmpty();
    }

    @Test
    void rejectsAKeySharedByTwoAccounts() {
        List<ClientAccount> accounts = List.of(
                new ClientAccount("a", List.of("k", "l"), OptionalInt.empty()),
                new ClientAccount("b", List.of("l"), OptionalInt.empty()));
        RouteTable table = new RouteTable(1, List.of(VALID), POOLS, Optional.of(accounts), CallerLimits.DEFAULT);
        assertThat(RouteTableCheck.findProblem(table, List.of("p", "s")))
                .hasValue("client accounts a and b share a key");
    }

    private static Route weighted(WeightedPool... pools) {
        return TestRoutes.route("bad", "h", "/b/", RouteKind.SAFE, List.of(pools), List.of());
    }

    private static Route staged(RouteStage... stages) {
        return TestRoutes.route(
                "bad", "h", "/b/", RouteKind.STREAM, List.of(new WeightedPool("p", 1)), List.of(stages));
    }

    private static Route withoutTimeout() {
        return new Route(
                "bad",
                "h",
                "/b/",
                RouteKind.SAFE,
                Duration.ZERO,
                Duration.ofSeconds(1),
                0,
                List.of(new WeightedPool("p", 1)),
                1,
                List.of(),
                false,
                false,
                Duration.ZERO);
    }
}
