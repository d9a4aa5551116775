package org.copperspindle.route;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTest {

    private final RouteTable table = TestRoutes.table(
            1,
            List.of(
                    TestRoutes.route("short", "h", "/a/", RouteKind.SAFE, "p"),
                    TestRoutes.route("long", "h", "/a/b/", RouteKind.SAFE, "p"),
                    TestRoutes.route("other", "i", "/a/", RouteKind.SAFE, "p")),
            List.of(TestRoutes.pool("p")));

    @ParameterizedTest
    @CsvSource({
        "h, /a/x, short",
        "h, /a/b/x, long",
        "h, /a/bx, short",
        "h:8080, /a/b/, long",
        "i, /a/b/, other",
        "h, /ab, ''",
        "h, /, ''",
        "j, /a/x, ''"
    })
    void findsTheLongestPrefixOfTheHost(String host, String path, String route) {
        assertThat(table.findRoute(host, path).map(Route::name).orElse("")).isEqualTo(route);
    }

    @ParameterizedTest
    @CsvSource({"0.0, a", "0.89, a", "0.91, b", "0.999, b"})
    void choosesPoolsByWeight(double draw, String pool) {
        Route route = TestRoutes.route(
                "r",
                "h",
                "/",
                RouteKind.SAFE,
                List.of(new WeightedPool("a", 90), new WeightedPool("b", 10), new WeightedPool("none", 0)),
                List.of());
        assertThat(route.choosePool(draw)).isEqualTo(pool);
    }
}
