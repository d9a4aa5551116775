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
 * Three nodes, two of which are only connected through the third one, as in a partitioned control group. A relayed
 * message must arrive once and under the name of its sender; if there is no route, the sender must be told so that it
 * does the work elsewhere.
 */
class MeshRelayTest {

    private static final String SELF = "127.0.0.1:1";
    private static final String RELAY = "127.0.0.1:2";
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
    private final List<String> received = new ArrayList<>();

    MeshRelayTest() {
        mesh.subscribe(relay);
        relay.subscribe(new MeshListener() {
            @Override
            public void onMessage(MeshNode node, WireMessage message) {
                received.add(node.address() + ' ' + ((NodeHelloMessage) message).control());
            }
        });
    }

    @AfterEach
    void close() {
        transport.close();
    }

    @Test
    void sendsThroughANodeConnectedToBoth() {
        connect(RELAY, List.of(FAR));
        assertThat(relay.canReach(FAR)).isTrue();
        assertThat(relay.send(FAR, hello())).isTrue();
        assertThat(peers.get(RELAY).sent(RelayMessage.class))
                .singleElement()
                .satisfies(m -> assertThat(List.of(m.from(), m.to())).containsExactly(SELF, FAR));
    }

    @Test
    void sendsDirectlyIfConnected() {
        connect(RELAY, List.of(FAR));
        connect(FAR, List.of());
        assertThat(relay.send(FAR, hello())).isTrue();
        assertThat(peers.get(RELAY).sent(RelayMessage.class)).isEmpty();
    }

    @Test
    void reportsThatThereIsNoRoute() {
        connect(RELAY, List.of());
        assertThat(relay.canReach(FAR)).isFalse();
        assertThat(relay.send(FAR, hello())).isFalse();
    }

    @Test
    void forwardsMessagesForOtherNodes() {
        connect(RELAY, List.of());
        connect(FAR, List.of());
        mesh.onMessage(peers.get(RELAY), new RelayMessage(RELAY, FAR, registry.encode(hello())));
        assertThat(peers.get(FAR).sent(RelayMessage.class)).hasSize(1);
        assertThat(received).isEmpty();
    }

    @Test
    void deliversRelayedMessagesUnderTheSendersName() {
        connect(RELAY, List.of(FAR));
        mesh.onMessage(peers.get(RELAY), new RelayMessage(FAR, SELF, registry.encode(hello())));
        mesh.onMessage(peers.get(RELAY), new RelayMessage(FAR, SELF, new byte[] {1, 2, 3}));
        assertThat(received).containsExactly(FAR + " 127.0.0.1:9");
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
