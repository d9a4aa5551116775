package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.UpstreamPool;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class SharedIdleConnectionLimitTest {

    private static final String ADDRESS = "10.0.0.1:80";

    private final UpstreamDirectory directory = new UpstreamDirectory();

    /**
     * An upstream accepts 80 connections. Each of 35 nodes kept two idle ones, 70 together, and a burst of requests
     * found the limit reached: the upstream reset their connections although it had capacity for the requests.
     * Whatever the number of nodes, half of the connections must stay free for requests.
     */
    @ParameterizedTest
    @CsvSource({"7, 80", "35, 80", "35, 160", "136, 160", "380, 160", "380, 460"})
    void halfOfTheConnectionsStayFree(int nodes, int connections) {
        SharedIdleConnectionLimit idle = idle(
                nodes, new UpstreamPool("p", connections, Optional.empty(), OptionalInt.empty(), Optional.empty()));
        assertThat(idle.maxIdle(ADDRESS) * nodes).isLessThanOrEqualTo(connections / 2);
    }

    /**
     * Upstreams of a stage pool are called only by the dispatcher of the pool, whose calls follow each other closely.
     */
    @ParameterizedTest
    @CsvSource({"1", "380"})
    void upstreamsOfStagePoolsAreNotShared(int nodes) {
        assertThat(idle(nodes, TestRoutes.stagePool("p")).maxIdle(ADDRESS)).isEqualTo(2);
    }

    /** Evacuated upstreams get no requests for minutes, and may be about to lose their power. */
    @Test
    void nothingIsKeptWithEvacuatedUpstreams() {
        SharedIdleConnectionLimit idle =
                idle(3, new UpstreamPool("p", 100, Optional.empty(), OptionalInt.empty(), Optional.empty()));
        directory.evacuate(Set.of("d"), 0);
        assertThat(idle.maxIdle(ADDRESS)).isZero();
        directory.evacuate(Set.of(), 0);
        assertThat(idle.maxIdle(ADDRESS)).isPositive();
    }

    private SharedIdleConnectionLimit idle(int nodes, UpstreamPool pool) {
        directory.accept(
                new UpstreamRecord(
                        "u", 0, "p", ADDRESS, "d", UpstreamPhase.READY, 1, 1, 0, 0, SoftwareVersion.UNSTATED),
                0);
        RouteTable table = TestRoutes.table(1, List.of(), List.of(pool));
        return new SharedIdleConnectionLimit(directory, () -> Optional.of(table), () -> nodes);
    }
}
