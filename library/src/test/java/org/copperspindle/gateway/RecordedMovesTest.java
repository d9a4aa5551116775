package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.version.EvacuationsMessage;
import org.copperspindle.version.LeadingMembers;
import org.copperspindle.version.MemberStatus;
import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionLeaseRequestMessage;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.version.VersionObserver;
import org.copperspindle.version.VersionState;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * An operator moves a route with resumable streams to another pool. A table that were recorded without the versions of
 * these streams would let nodes join their pieces to those of another version.
 */
class RecordedMovesTest {

    private static final String FORMER = "former";
    private static final String NEXT = "next";
    private static final String UPDATED = NEXT + "=[new, old]";
    private static final String OTHER_NODE = "127.0.0.1:2";

    private final List<String> committed = new ArrayList<>();
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final DecisionRing ring = new DecisionRing("test", 64);
    private final WireTransport transport = new WireTransport(
            1, GatewayMessages.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            RecordedMovesTest::hello);
    private final VersionExchange exchange = new VersionExchange(mesh, time, Runnable::run);
    private final VersionHolder holder = new VersionHolder(
            time,
            text -> new RouteTableResult.Valid(table(Long.parseLong(new String(text, StandardCharsets.UTF_8)))),
            Duration.ofMillis(3800),
            new SuspensionDetector(time::nanoTime, () -> time.nanoTime() / 1_000_000L),
            exchange::requestLease);
    private final VersionState state = new VersionState(new Committed());
    private final ControlGroupClient client = new ControlGroupClient(
            exchange, holder, Runnable::run, new SubmissionLog(time, exchange, new GatewayCounters()));
    private FakePeer other = new FakePeer(OTHER_NODE);
    private long index;

    @BeforeEach
    void lead() {
        exchange.holder(holder);
        mesh.subscribe(exchange);
        connect();
        exchange.member(LeadingMembers.create(ring, time, state));
        exchange.status(new MemberStatus(1, "", true));
        apply(new SoftwareCommand(FORMER, List.of("old"), true));
        apply(new SoftwareCommand(NEXT, List.of("new"), true));
        state.apply(++index, 1, VersionMessage.CODEC.encode(version(1)));
        committed.clear();
    }

    @AfterEach
    void close() {
        ring.close();
        transport.close();
    }

    /** Guards against a table without the versions of its streams while the leader waits for requests of other nodes. */
    @ParameterizedTest
    @EnumSource
    void versionsOfMovedStreamsAreRecordedFirst(OtherNode otherNode) {
        if (otherNode != OtherNode.SILENT) {
            mesh.onMessage(other, new VersionLeaseRequestMessage(1, 0, 0, 0));
        }
        if (otherNode == OtherNode.BACK) {
            mesh.onClose(other);
            other = new FakePeer(OTHER_NODE);
            connect();
        }
        if (otherNode == OtherNode.GONE) {
            mesh.onClose(other);
        }
        assertThat(put(2)).isInstanceOf(ControlResponse.Recorded.class);
        assertThat(committed).containsExactly(UPDATED, "version 2");
    }

    /** Guards against a table without the versions of its streams where no room is left for them. */
    @ParameterizedTest
    @EnumSource
    void tableIsNotRecordedWithoutRoomForItsVersions(FullList full) {
        full.commands().forEach(this::apply);
        committed.clear();
        assertThat(put(2))
                .isInstanceOfSatisfying(
                        ControlResponse.Unavailable.class,
                        response -> assertThat(response.reason()).contains("too many software versions", NEXT));
        assertThat(committed).isEmpty();
        assertThat(state.held().version()).isEqualTo(1);
        apply(new SoftwareCommand(full.pool(), List.of("0"), false));
        committed.clear();
        assertThat(put(2)).isInstanceOf(ControlResponse.Recorded.class);
        assertThat(committed).hasSize(2).last().isEqualTo("version 2");
    }

    /** A table that moves no streams needs no room. */
    @Test
    void tableThatMovesNoStreamsIsRecordedWithAFullList() {
        FullList.ALL_POOLS.commands().forEach(this::apply);
        committed.clear();
        assertThat(put(1)).isInstanceOf(ControlResponse.Recorded.class);
        assertThat(committed).isEmpty();
    }

    private ControlResponse put(long version) {
        CompletableFuture<ControlResponse> response = new CompletableFuture<>();
        client.put(table(version), version(version), response::complete);
        return response.join();
    }

    private void apply(SoftwareCommand command) {
        state.apply(++index, 1, SoftwareCommand.CODEC.encode(command));
    }

    private void connect() {
        mesh.onOpen(other);
        mesh.onMessage(other, hello());
    }

    private static VersionMessage version(long number) {
        return new VersionMessage(number, Long.toString(number).getBytes(StandardCharsets.UTF_8));
    }

    private static RouteTable table(long version) {
        Route route = new Route(
                "r",
                "h",
                "/a/",
                RouteKind.STREAM,
                Duration.ofSeconds(8),
                Duration.ofSeconds(1),
                0,
                List.of(new WeightedPool(version == 1 ? FORMER : NEXT, 1)),
                2,
                List.of(),
                false,
                true,
                Duration.ofMillis(200));
        return TestRoutes.table(version, List.of(route), List.of());
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", true, true, true, 1, "", 1, 1);
    }

    /** What the leader knows of the other node with a disk. */
    private enum OtherNode {
        /** It has requested a lease. */
        KNOWN,
        /** It has not requested a lease of this leader yet. */
        SILENT,
        /** It has requested a lease, was lost and is connected again. */
        BACK,
        /** It is lost. */
        GONE
    }

    /** Lists of versions in use that are full. */
    private enum FullList {
        /** The pool to which the route is moved has as many versions as one may have. */
        ONE_POOL,
        /** All pools have as many versions as all may have. */
        ALL_POOLS;

        /** Returns a pool that has a version named 0. */
        String pool() {
            return this == ONE_POOL ? NEXT : "p0";
        }

        List<SoftwareCommand> commands() {
            int perPool = SoftwareInUseMessage.MAX_VERSIONS_PER_POOL;
            if (this == ONE_POOL) {
                return List.of(command(NEXT, perPool - 1));
            }
            int pools = SoftwareInUseMessage.MAX_VERSIONS / perPool;
            return IntStream.range(0, pools)
                    .mapToObj(i -> command("p" + i, i == 0 ? perPool - 2 : perPool))
                    .toList();
        }

        private static SoftwareCommand command(String pool, int count) {
            List<String> versions =
                    IntStream.range(0, count).mapToObj(Integer::toString).toList();
            return new SoftwareCommand(pool, versions, true);
        }
    }

    /** Passes on what is committed, as the member of a node does. */
    private final class Committed implements VersionObserver {
        @Override
        public void onVersion(VersionMessage version) {
            committed.add("version " + version.version());
            exchange.onRecorded(version);
        }

        @Override
        public void onEvacuations(EvacuationsMessage evacuations) {
            exchange.onRecorded(evacuations);
        }

        @Override
        public void onSoftware(SoftwareInUseMessage software) {
            committed.add(NEXT + '=' + software.versions(NEXT));
            exchange.onRecorded(software);
        }
    }
}
