package org.copperspindle.mesh;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Three nodes, of which two don't reach each other while the third one reaches both, as members of the control group do
 * when it is split. What one sends must come to the other once, under the sender's name; where nobody reaches the other,
 * the sender must be told, so that it does the work elsewhere.
 */
class MeshRelayTest {

    private static final String SELF = "127.0.0.1:1";
    private static final String BETWEEN = "127.0.0.1:2";
    private static final String FAR = "127.0.0.1:3";

    private final MessageRegistry registry =
            WireTransport.registry().register(NodeHelloMessage.CODEC).register(RelayMessage.CODEC);
    private final WireTransport transport =
            new WireTransport(1, registry, new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            new VirtualTimerService(),
            MeshRelayTest::hello);
    private final MeshRelay relay = new MeshRelay(mesh, registry);
    private final Map<String, FakePeer> peers = new HashMap<>();
    private final List<String> heard = new ArrayList<>();

    MeshRelayTest() {
        mesh.subscribe(relay);
        relay.listener(new MeshListener() {
            @Override
            public void onMessage(MeshNode node, WireMessage message) {
                heard.add(node.address() + ' ' + ((NodeHelloMessage) message).control());
            }
        });
    }

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void sendsThroughANodeThatReachesBoth() {
        connect(BETWEEN, List.of(FAR));
        assertThat(relay.canReach(FAR)).isTrue();
        assertThat(relay.send(FAR, hello())).isTrue();
        assertThat(peers.get(BETWEEN).sent(RelayMessage.class))
                .singleElement()
                .satisfies(m -> assertThat(List.of(m.from(), m.to())).containsExactly(SELF, FAR));
    }

    @Test
    void sendsByItselfWhereItCan() {
        connect(BETWEEN, List.of(FAR));
        connect(FAR, List.of());
        assertThat(relay.send(FAR, hello())).isTrue();
        assertThat(peers.get(BETWEEN).sent(RelayMessage.class)).isEmpty();
    }

    @Test
    void saysThatThereIsNoWay() {
        connect(BETWEEN, List.of());
        assertThat(relay.canReach(FAR)).isFalse();
        assertThat(relay.send(FAR, hello())).isFalse();
    }

    @Test
    void passesOnWhatIsForAnother() {
        connect(BETWEEN, List.of());
        connect(FAR, List.of());
        mesh.onMessage(peers.get(BETWEEN), new RelayMessage(BETWEEN, FAR, registry.encode(hello())));
        assertThat(peers.get(FAR).sent(RelayMessage.class)).hasSize(1);
        assertThat(heard).isEmpty();
    }

    @Test
    void takesWhatIsForItUnderTheNameOfItsSender() {
        connect(BETWEEN, List.of(FAR));
        mesh.onMessage(peers.get(BETWEEN), new RelayMessage(FAR, SELF, registry.encode(hello())));
        mesh.onMessage(peers.get(BETWEEN), new RelayMessage(FAR, SELF, new byte[] {1, 2, 3}));
        assertThat(heard).containsExactly(FAR + " 127.0.0.1:9");
    }

    private void connect(String name, List<String> connectedWith) {
        FakePeer peer = new FakePeer(name);
        peers.put(name, peer);
        mesh.onOpen(peer);
        mesh.onMessage(peer, hello());
        mesh.onMessage(peer, new NodeListMessage(connectedWith));
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);
    }
}
