package org.copperspindle.overload;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When an overloaded node leaves new connections to others, and what the others learn.
 */
class NodeOverloadTest {

    private static final long MILLI = 1_000_000L;
    private static final long TICK = 100 * MILLI;
    private static final int OTHERS = 4;
    private static final int CONNECTIONS = 100;

    private final MessageRegistry registry =
            WireTransport.registry().register(NodeHelloMessage.CODEC).register(OverloadMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final List<FakePeer> others = new ArrayList<>();
    private final NodeMesh mesh = mesh();
    private final NodeOverload overload = new NodeOverload(mesh, TICK);
    private long now;

    @AfterEach
    void close() {
        transport.close();
    }

    /** Guards against turning callers away to nodes that can't serve them either, and against doing so alone. */
    @ParameterizedTest
    @CsvSource({"0, 0, false", "4, 0, true", "4, 2, true", "4, 3, false", "4, 4, false"})
    void connectionsAreLeftToOthersWhileMostHaveCapacity(int nodes, int overloaded, boolean sheds) {
        connect(nodes);
        others.stream().limit(overloaded).forEach(peer -> mesh.onMessage(peer, new OverloadMessage(true)));
        overloadThisNode();
        assertThat(admitted() < CONNECTIONS).isEqualTo(sheds);
    }

    /** Guards against nodes that are taken for overloaded for ever: relief, loss and restart of a node end it. */
    @Test
    void reliefAndLossOfANodeAreLearned() {
        connect(OTHERS);
        others.forEach(peer -> mesh.onMessage(peer, new OverloadMessage(true)));
        overloadThisNode();
        assertThat(admitted()).isEqualTo(CONNECTIONS);
        mesh.onMessage(others.get(0), new OverloadMessage(false));
        mesh.onMessage(others.get(1), new OverloadMessage(false));
        mesh.onClose(others.get(2));
        assertThat(admitted()).isLessThan(CONNECTIONS);
    }

    /** Guards against messages while nothing changes. */
    @Test
    void othersAreToldOnlyOfChanges() {
        connect(OTHERS);
        for (int tick = 0; tick < 50; tick++) {
            tick(MILLI);
        }
        assertThat(others.get(0).sent(OverloadMessage.class)).isEmpty();
        overloadThisNode();
        overloadThisNode();
        assertThat(others.get(0).sent(OverloadMessage.class)).containsExactly(new OverloadMessage(true));
        for (int tick = 0; tick < 50; tick++) {
            tick(MILLI);
        }
        assertThat(others.get(0).sent(OverloadMessage.class))
                .containsExactly(new OverloadMessage(true), new OverloadMessage(false));
    }

    private int admitted() {
        int count = 0;
        for (int i = 0; i < CONNECTIONS; i++) {
            count += overload.tryAdmit() ? 1 : 0;
        }
        return count;
    }

    private void overloadThisNode() {
        for (int i = 0; i < 10; i++) {
            tick(200 * MILLI);
        }
        assertThat(overload.isOverloaded()).isTrue();
    }

    private void tick(long delay) {
        now += TICK + delay;
        overload.tick(now);
    }

    private void connect(int count) {
        mesh.subscribe(overload);
        for (int i = 0; i < count; i++) {
            FakePeer peer = new FakePeer("127.0.0.1:" + (i + 2));
            others.add(peer);
            mesh.onOpen(peer);
            mesh.onMessage(peer, hello());
        }
    }

    private NodeMesh mesh() {
        InetSocketAddress own = new InetSocketAddress("127.0.0.1", 1);
        MeshSettings settings = new MeshSettings(own, own, "127.0.0.1:9", "d", false, List.of());
        return new NodeMesh(settings, transport, new VirtualTimerService(), NodeOverloadTest::hello);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);
    }
}
