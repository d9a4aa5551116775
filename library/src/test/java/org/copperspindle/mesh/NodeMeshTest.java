package org.copperspindle.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.loopback.LoopbackHost;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * What a node sends while nothing changes, and how it finds nodes that it is not connected to.
 */
class NodeMeshTest {

    private static final int ACCEPT_MILLIS = 20;

    /** Upper bound of attempts; the wait ends as soon as the node is dialled. */
    private static final int MAX_ATTEMPTS = 1000;

    private final LoopbackHost host = LoopbackHost.open();
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress own = host.nextAddress();
    private final String self = NumericAddress.format(own);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = (EventLoop) group.next();
    private final WireTransport transport = new WireTransport(
            group,
            WireTransport.registry(),
            new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", self, 1),
            MeshSettings.LIMITS);
    private long version;
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(own, own, "127.0.0.1:9", "d", false, List.of()), transport, time, () -> hello(version));

    NodeMeshTest() throws IOException {
        mesh.start();
    }

    @AfterEach
    void close() {
        transport.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /**
     * An idle fleet. Formerly each node sent its state and node list to every other node twice a second, so that the
     * traffic per node grew with the square of the fleet size. Nothing may be sent while nothing changes, whatever
     * the number of nodes.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 8, 64})
    void nothingIsSentWhileNothingChanges(int count) {
        List<FakePeer> peers = IntStream.range(0, count).mapToObj(this::connect).toList();
        time.advance(Duration.ofSeconds(1).toNanos());
        int lists = lists(peers.get(0)).size();
        time.advance(Duration.ofSeconds(10).toNanos());
        assertThat(lists(peers.get(0))).hasSize(lists);
        assertThat(lists(peers.get(0)).get(lists - 1).nodes()).hasSize(count);
        assertThat(peers.get(0).sent(NodeHelloMessage.class)).containsExactly(hello(0));
    }

    /**
     * A node receives a new version; other nodes, which decide by it whom they send the version to, must learn this
     * within half a second.
     */
    @Test
    void changeIsSentAtTheNextMaintenance() {
        FakePeer peer = connect(1);
        version = 7;
        time.advance(MeshSettings.MAINTENANCE_INTERVAL.toNanos());
        assertThat(peer.sent(NodeHelloMessage.class)).containsExactly(hello(0), hello(7));
    }

    /**
     * A connection is replaced by a new one: messages on the old one may be lost, so the node list must be sent
     * again.
     */
    @Test
    void listIsSentAgainOnANewConnection() {
        FakePeer first = connect(1);
        connect(2);
        time.advance(Duration.ofSeconds(1).toNanos());
        mesh.onClose(first);
        FakePeer second = connect(1);
        assertThat(lists(second)).hasSize(1);
        time.advance(Duration.ofSeconds(1).toNanos());
        assertThat(lists(second).get(lists(second).size() - 1).nodes()).containsExactlyInAnyOrder(name(1), name(2));
    }

    /**
     * The dispatcher of a pool dies. Other nodes leave their groups with it for as long as any node reports it as
     * connected, so its loss must be announced within a moment and not only at the next maintenance interval, half a
     * second later.
     */
    @Test
    void lossOfANodeIsAnnouncedQuickly() {
        FakePeer witness = connect(1);
        FakePeer lost = connect(2);
        time.advance(Duration.ofSeconds(1).toNanos());
        mesh.onClose(lost);
        time.advance(Duration.ofMillis(60).toNanos());
        List<NodeListMessage> announced = lists(witness);
        assertThat(announced.get(announced.size() - 1).nodes()).containsExactly(name(1));
    }

    /**
     * A node is down for half a minute, and a neighbour that still has its connection keeps reporting it. Node lists
     * are sent only once: if the address were dropped after twenty seconds, the node would not be found again when it
     * is back.
     */
    @Test
    void nodeIsDialledWhileOthersReportIt() throws IOException {
        InetSocketAddress reported = host.nextAddress();
        FakePeer peer = connect(1);
        mesh.onMessage(peer, new NodeListMessage(List.of(NumericAddress.format(reported))));
        advance(Duration.ofSeconds(30));
        try (ServerSocket restarted = new ServerSocket(reported.getPort(), 5, reported.getAddress())) {
            restarted.setSoTimeout(ACCEPT_MILLIS);
            boolean found = false;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && !found; attempt++) {
                advance(MeshSettings.MAINTENANCE_INTERVAL);
                found = isDialled(restarted);
            }
            assertThat(found).isTrue();
        }
    }

    /**
     * A started node learns of the leader from its seeds and has no lease before it reaches the leader. When the
     * leader was dialled with all other nodes at the next maintenance interval, no caller was answered for half a
     * second after a start of all nodes.
     */
    @Test
    void leaderIsDialledImmediately() throws IOException {
        InetSocketAddress leader = host.nextAddress();
        try (ServerSocket listening = new ServerSocket(leader.getPort(), 5, leader.getAddress())) {
            listening.setSoTimeout(ACCEPT_MILLIS);
            FakePeer seed = connect(1);
            String name = NumericAddress.format(leader);
            mesh.onMessage(seed, new NodeHelloMessage("127.0.0.1:9", "d", true, true, true, 3, name, 1, 1));
            boolean found = false;
            for (int attempt = 0; attempt < MAX_ATTEMPTS && !found; attempt++) {
                found = isDialled(listening);
            }
            assertThat(found).isTrue();
        }
    }

    /** Guards against a node that is told nothing after its restart, because its former connection was still open. */
    @Test
    void nodeThatRestartsBeforeItsLossIsNoticedIsNew() {
        List<String> events = new ArrayList<>();
        mesh.subscribe(new MeshListener() {
            @Override
            public void onNodeUp(MeshNode node) {
                events.add("up " + node.incarnation());
            }

            @Override
            public void onNodeDown(MeshNode node) {
                events.add("down " + node.incarnation());
            }
        });
        FakePeer former = connect(1);
        FakePeer next = new FakePeer(name(1), 2);
        mesh.onOpen(next);
        mesh.onMessage(next, hello(0));
        mesh.onClose(former);
        assertThat(events).containsExactly("up 1", "down 1", "up 2");
        assertThat(mesh.nodes()).extracting(MeshNode::incarnation).containsExactly(2L);
    }

    /** Advances the time on the network thread, as in a node: failed connections are recorded there. */
    private void advance(Duration duration) {
        loop.submit(() -> time.advance(duration.toNanos())).syncUninterruptibly();
    }

    private static boolean isDialled(ServerSocket listening) throws IOException {
        try (Socket caller = listening.accept()) {
            return caller.isConnected();
        } catch (SocketTimeoutException e) {
            // Not yet; the test tries again.
            return false;
        }
    }

    private FakePeer connect(int number) {
        FakePeer peer = new FakePeer(name(number));
        mesh.onOpen(peer);
        mesh.onMessage(peer, hello(0));
        return peer;
    }

    private static String name(int number) {
        return "127.9.9.9:" + (number + 1);
    }

    private static List<NodeListMessage> lists(FakePeer peer) {
        return peer.sent(NodeListMessage.class);
    }

    private static NodeHelloMessage hello(long version) {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", version, 1);
    }
}
