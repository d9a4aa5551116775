package org.copperspindle.mesh;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
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
 * What a node sends to others while nothing changes, and how it finds those it is not connected to.
 */
class NodeMeshTest {

    private static final int ACCEPT_MILLIS = 20;

    /** Generous: the wait ends as soon as the node is dialled. */
    private static final int MOST_LOOKS = 1000;

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
     * A fleet at rest. Each node used to tell each other one twice a second all about itself and whom it is connected to, so
     * that the bytes at a node grew with the square of the fleet's size. Nothing goes out while nothing changes, however many
     * nodes there are.
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

    /** A node comes to hold a new version; others, which choose by that whom they send it to, hear of it within half a second. */
    @Test
    void changeIsToldAtTheNextLook() {
        FakePeer peer = connect(1);
        version = 7;
        time.advance(MeshSettings.LOOK_INTERVAL.toNanos());
        assertThat(peer.sent(NodeHelloMessage.class)).containsExactly(hello(0), hello(7));
    }

    /** A connection ends and a new one takes its place: what was sent on the old one may be lost, so the list goes out again. */
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
     * A node dies that packs the calls of a pool. Others leave their groups with it while any node names it as connected, half a second
     * longer than they have known it to be gone themselves.
     */
    @Test
    void lostNodeIsToldWithinAMoment() {
        FakePeer witness = connect(1);
        FakePeer lost = connect(2);
        time.advance(Duration.ofSeconds(1).toNanos());
        mesh.onClose(lost);
        time.advance(Duration.ofMillis(60).toNanos());
        List<NodeListMessage> told = lists(witness);
        assertThat(told.get(told.size() - 1).nodes()).containsExactly(name(1));
    }

    /**
     * A node is down for half a minute, and a neighbour goes on naming it, since it still has its connection. Lists are told
     * once: forgotten after twenty seconds, the node would not be found again when it answers.
     */
    @Test
    void nodeIsDialledForAsLongAsOthersNameIt() throws IOException {
        InetSocketAddress named = host.nextAddress();
        FakePeer peer = connect(1);
        mesh.onMessage(peer, new NodeListMessage(List.of(NumericAddress.format(named))));
        advance(Duration.ofSeconds(30));
        try (ServerSocket back = new ServerSocket(named.getPort(), 5, named.getAddress())) {
            back.setSoTimeout(ACCEPT_MILLIS);
            boolean found = false;
            for (int look = 0; look < MOST_LOOKS && !found; look++) {
                advance(MeshSettings.LOOK_INTERVAL);
                found = isDialled(back);
            }
            assertThat(found).isTrue();
        }
    }

    /**
     * A node that has just started hears of the leader from its seeds. It has no lease before it reaches the leader; dialled with all others
     * at the next look, half a second after the start of all nodes passed without an answer to any caller.
     */
    @Test
    void leaderIsDialledWhenItIsNamed() throws IOException {
        InetSocketAddress leader = host.nextAddress();
        try (ServerSocket listening = new ServerSocket(leader.getPort(), 5, leader.getAddress())) {
            listening.setSoTimeout(ACCEPT_MILLIS);
            FakePeer seed = connect(1);
            String name = NumericAddress.format(leader);
            mesh.onMessage(seed, new NodeHelloMessage("127.0.0.1:9", "d", true, true, true, 3, name, 1, 1));
            boolean found = false;
            for (int look = 0; look < MOST_LOOKS && !found; look++) {
                found = isDialled(listening);
            }
            assertThat(found).isTrue();
        }
    }

    /** Lets time pass on the network thread, as in a node: connections that fail are noted there. */
    private void advance(Duration duration) {
        loop.submit(() -> time.advance(duration.toNanos())).syncUninterruptibly();
    }

    private static boolean isDialled(ServerSocket listening) throws IOException {
        try (Socket caller = listening.accept()) {
            return caller.isConnected();
        } catch (SocketTimeoutException e) {
            // Not yet; the test looks again.
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
