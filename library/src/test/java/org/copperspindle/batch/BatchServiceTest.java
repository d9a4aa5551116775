package org.copperspindle.batch;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.measure.DecisionLog;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeListMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.mesh.RelayMessage;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class BatchServiceTest {

    private static final long MILLI = 1_000_000L;
    private static final String SELF = "127.0.0.1:1";
    private static final String PACKER = "127.0.0.1:2";
    private static final String OTHER = "127.0.0.1:3";
    private static final BatchLimits LIMITS = TestRoutes.batch(8);

    private final MessageRegistry registry = WireTransport.registry()
            .register(NodeHelloMessage.CODEC)
            .register(RelayMessage.CODEC)
            .register(PieceGroup.CODEC)
            .register(PieceResultsMessage.CODEC)
            .register(PieceCancelMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()), transport, time, () -> hello(0));
    private final FakePeer packer = new FakePeer(PACKER);
    private final FakePeer other = new FakePeer(OTHER);
    private final List<PieceResult> results = new ArrayList<>();
    private final BatchService service = service();

    @AfterEach
    void close() {
        transport.close();
    }

    /**
     * A node is killed and back at once, while a call for its old life still runs. The result of that call must not be taken
     * for one of the new life's first groups: the request would get a piece of another one.
     */
    @Test
    void groupsOfTwoLivesHaveDifferentNumbers() {
        assertThat(service.nextId()).isNotEqualTo(service().nextId());
    }

    /**
     * This node and the one that packs lose each other, as when the control group is split; another node still reaches both.
     * The group goes to the same packer through that node, and its results are taken: two packers would fill the upstreams
     * with each other's calls.
     */
    @Test
    void packerThatOthersReachGoesOnPacking() {
        service.start();
        connect(packer, 2, List.of(OTHER));
        connect(other, 1, List.of(PACKER));
        mesh.onClose(packer);
        PieceGroup group = group();
        service.submit(group, results::addAll);
        assertThat(other.sent(RelayMessage.class))
                .filteredOn(m -> m.to().equals(PACKER))
                .hasSize(1);
        PieceResult made = new PieceResult(0, new PieceOutcome.Made("10.0.0.1:1/a"));
        byte[] answer = registry.encode(new PieceResultsMessage(group.id(), List.of(made)));
        mesh.onMessage(other, new RelayMessage(PACKER, SELF, answer));
        assertThat(results).containsExactly(made);
    }

    /** The packer dies for all: what waits at it goes to the next node, once nobody sees it any more. */
    @Test
    void groupsOfALostPackerGoToTheNext() {
        service.start();
        connect(packer, 2, List.of(OTHER));
        connect(other, 1, List.of(PACKER));
        service.submit(group(), results::addAll);
        assertThat(packer.sent(PieceGroup.class)).hasSize(1);
        mesh.onClose(packer);
        mesh.onMessage(other, new NodeListMessage(List.of()));
        time.advance(100 * MILLI);
        assertThat(other.sent(PieceGroup.class)).hasSize(1);
    }

    /**
     * This node packs and stands still for longer than others take to find it dead. What it was to make for them is made elsewhere
     * by then: made here as well, it would take the pool just when work has piled up. What its own callers wait for stays.
     */
    @ParameterizedTest
    @CsvSource({"3000, 1", "900, 2"})
    void dropsGroupsOfOthersAfterAStandstill(long stoodMillis, int groupsLeft) {
        StandingClock clock = new StandingClock(time);
        BatchService packing = service(clock);
        packing.start();
        connect(other, -1, List.of());
        mesh.onMessage(other, group());
        packing.submit(group(), results::addAll);
        time.advance(200 * MILLI);
        assertThat(packing.waitingPieces()).isEqualTo(2);
        clock.standStill(stoodMillis);
        time.advance(200 * MILLI);
        assertThat(packing.waitingPieces()).isEqualTo(groupsLeft);
    }

    private BatchService service() {
        return service(time);
    }

    private BatchService service(TimerService timers) {
        MeshRelay relay = new MeshRelay(mesh, registry);
        BatchService made = new BatchService(
                relay,
                timers,
                new UpstreamDirectory(),
                new FakeStagePort(time, LIMITS),
                pool -> Optional.of(LIMITS),
                new SmallNode(),
                new DecisionLog(0, 0));
        relay.listener(made);
        mesh.subscribe(relay);
        mesh.subscribe(made);
        return made;
    }

    private void connect(FakePeer peer, int fitness, List<String> connectedWith) {
        mesh.onOpen(peer);
        mesh.onMessage(peer, hello(fitness));
        mesh.onMessage(peer, new NodeListMessage(connectedWith));
    }

    private PieceGroup group() {
        return new PieceGroup(
                service.nextId(), "r", 0, "p", 1, List.of(0), "k", List.of(), 4, 2000, 9000, 10, 0, "", false);
    }

    private static NodeHelloMessage hello(int fitness) {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, fitness);
    }

    /** A clock that went on while nothing ran. */
    private static final class StandingClock implements TimerService {
        private final VirtualTimerService time;
        private long stoodNanos;

        private StandingClock(VirtualTimerService time) {
            this.time = time;
        }

        private void standStill(long millis) {
            stoodNanos += millis * MILLI;
        }

        @Override
        public long nanoTime() {
            return time.nanoTime() + stoodNanos;
        }

        @Override
        public TimerSubscription schedule(long delayNanos, Runnable task) {
            return time.schedule(delayNanos, task);
        }
    }

    /** A node that serves and should not pack while there are others. */
    private static final class SmallNode implements DispatcherStatus {
        @Override
        public boolean isServing() {
            return true;
        }

        @Override
        public int fitness() {
            return 0;
        }
    }
}
