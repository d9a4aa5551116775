package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

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

class SharedIdleConnectionsTest {

    private static final String ADDRESS = "10.0.0.1:80";

    private final UpstreamDirectory directory = new UpstreamDirectory();

    /**
     * An upstream accepts 80 connections. Of 35 nodes each kept two idle ones, 70 together, and a burst of requests found the
     * rest taken: the upstream reset their connections although it had room for them. Whatever the number of nodes, half
     * of the connections stay free for requests.
     */
    @ParameterizedTest
    @CsvSource({"7, 80", "35, 80", "35, 160", "136, 160", "380, 160", "380, 460"})
    void halfOfAnUpstreamsConnectionsStayFree(int nodes, int connections) {
        SharedIdleConnections idle = idle(
                nodes, new UpstreamPool("p", connections, Optional.empty(), OptionalInt.empty(), Optional.empty()));
        assertThat(idle.most(ADDRESS) * nodes).isLessThanOrEqualTo(connections / 2);
    }

    /** Upstreams of a stage pool are called by the node that packs their calls alone, whose calls follow each other closely. */
    @ParameterizedTest
    @CsvSource({"1", "380"})
    void upstreamsOfStagePoolsAreNotShared(int nodes) {
        assertThat(idle(nodes, TestRoutes.stagePool("p")).most(ADDRESS)).isEqualTo(2);
    }

    /** No request will go there for minutes, and the upstream may be about to lose its power. */
    @Test
    void nothingIsKeptWithEvacuatedUpstreams() {
        SharedIdleConnections idle =
                idle(3, new UpstreamPool("p", 100, Optional.empty(), OptionalInt.empty(), Optional.empty()));
        directory.evacuate(Set.of("d"), 0);
        assertThat(idle.most(ADDRESS)).isZero();
        directory.evacuate(Set.of(), 0);
        assertThat(idle.most(ADDRESS)).isPositive();
    }

    private SharedIdleConnections idle(int nodes, UpstreamPool pool) {
        directory.accept(new UpstreamRecord("u", 0, "p", ADDRESS, "d", UpstreamPhase.READY, 1, 1, 0, 0), 0);
        RouteTable table = TestRoutes.table(1, List.of(), List.of(pool));
        return new SharedIdleConnections(directory, () -> Optional.of(table), () -> nodes);
    }
}
