package org.copperspindle.batch;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class StandbyNodeTest {

    private static final String SELF = "127.0.0.1:1";

    private final WireTransport transport = new WireTransport(
            1, WireTransport.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d1", false, List.of()),
            transport,
            new VirtualTimerService(),
            () -> hello("d1", true, 1));
    private final Map<Integer, FakePeer> peers = new HashMap<>();
    private final DispatcherChooser chooser =
            new DispatcherChooser(new MeshRelay(mesh, WireTransport.registry()), new FitNode());

    @AfterEach
    void close() {
        transport.close();
    }

    /** A single node has nobody to take over, and must not name itself. */
    @Test
    void singleNodeHasNoStandby() {
        assertThat(chooser.standbyNode("p")).isEmpty();
    }

    /** The failure of a domain must not take dispatcher and standby if another one has a node of the same fitness. */
    @Test
    void standbyIsInAnotherFailureDomain() {
        IntStream.range(2, 20).forEach(number -> connect(number, hello("d1", true, 0)));
        connect(20, hello("d2", true, 0));
        for (String pool : List.of("p", "q", "r", "s")) {
            assertThat(chooser.dispatcherNode(pool)).isEqualTo(SELF);
            assertThat(chooser.standbyNode(pool)).contains("127.0.0.1:20");
        }
    }

    /** A small node would delay the calls of the pool; a node that does not serve must not dispatch at all. */
    @Test
    void fitterNodeGoesBeforeAnotherFailureDomain() {
        connect(2, hello("d1", true, 1));
        connect(3, hello("d2", true, 0));
        connect(4, hello("d2", false, 3));
        for (String pool : List.of("p", "q", "r", "s")) {
            assertThat(List.of(
                            chooser.dispatcherNode(pool),
                            chooser.standbyNode(pool).orElseThrow()))
                    .containsExactlyInAnyOrder(SELF, "127.0.0.1:2");
        }
    }

    /** Without failure domains to choose from, the standby is the node that membership would designate next. */
    @Test
    void standbyIsTheNextDispatcher() {
        for (int number = 2; number < 12; number++) {
            connect(number, hello("d1", true, 2));
        }
        String pool = "p";
        String standby = chooser.standbyNode(pool).orElseThrow();
        String dispatcher = chooser.dispatcherNode(pool);
        mesh.onClose(peer(Integer.parseInt(dispatcher.substring(dispatcher.indexOf(':') + 1))));
        assertThat(chooser.dispatcherNode(pool)).isEqualTo(standby);
    }

    private FakePeer peer(int number) {
        return peers.computeIfAbsent(number, n -> new FakePeer("127.0.0.1:" + n));
    }

    private void connect(int number, NodeHelloMessage hello) {
        mesh.onOpen(peer(number));
        mesh.onMessage(peer(number), hello);
    }

    private static NodeHelloMessage hello(String domain, boolean serving, int fitness) {
        return new NodeHelloMessage("127.0.0.1:9", domain, false, serving, false, 0, "", 0, fitness);
    }

    /** This node, as fit as the fittest others in most tests. */
    private static final class FitNode implements DispatcherStatus {
        @Override
        public boolean isServing() {
            return true;
        }

        @Override
        public int fitness() {
            return 1;
        }
    }
}
