package org.copperspindle.version;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * When a node that starts with the whole deployment may bootstrap the control group.
 */
class VoterDiscoveryTest {

    private static final Duration ASK_INTERVAL = Duration.ofMillis(400);
    private static final Duration STANDSTILL = Duration.ofMillis(7900);
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final String SELF = "127.9.9.9:1";

    private final VirtualTimerService time = new VirtualTimerService();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final WireTransport transport = new WireTransport(
            group,
            WireTransport.registry(),
            new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1),
            MeshSettings.LIMITS);

    @AfterEach
    void close() {
        transport.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a second group, bootstrapped by a process that stood still before it found the others. */
    @Test
    void nodeThatFoundNoneOfItsSeedsBootstrapsNoGroup() {
        VoterDiscovery discovery = discovery(List.of(name(2), name(3)), new FakePeer[0]);
        time.advance(STANDSTILL.toNanos());
        assertThat(isAllowedWithin(discovery, LONG)).isFalse();
    }

    /** Guards against a second group, bootstrapped by reports from before the process stood still. */
    @Test
    void nodeThatStoodStillHearsTheOthersAnew() {
        VoterDiscovery discovery = discovery(List.of(name(2), name(3)), new FakePeer(name(2)), new FakePeer(name(3)));
        assertThat(isAllowedWithin(discovery, Duration.ofSeconds(2))).isTrue();
        time.advance(STANDSTILL.toNanos());
        assertThat(isAllowedWithin(discovery, Duration.ofMillis(900))).isFalse();
        assertThat(isAllowedWithin(discovery, Duration.ofSeconds(2))).isTrue();
    }

    /** Guards against a deployment that never starts because one of its nodes never does. */
    @ParameterizedTest
    @CsvSource({"3, 2", "3, 3", "1, 1"})
    void groupIsBootstrappedWithFewerNodesAfterAWait(int seeds, int durable) {
        List<String> names = List.of(name(1), name(2), name(3)).subList(0, seeds);
        FakePeer[] peers = names.subList(1, durable).stream().map(FakePeer::new).toArray(FakePeer[]::new);
        VoterDiscovery discovery = discovery(names.subList(1, seeds), peers);
        assertThat(isAllowedWithin(discovery, Duration.ofSeconds(8))).isTrue();
    }

    private VoterDiscovery discovery(List<String> seeds, FakePeer... peers) {
        List<InetSocketAddress> addresses =
                seeds.stream().map(NumericAddress::parse).toList();
        InetSocketAddress own = NumericAddress.parse(SELF);
        NodeMesh mesh = new NodeMesh(
                new MeshSettings(own, own, "127.0.0.1:9", "d", true, addresses),
                transport,
                time,
                VoterDiscoveryTest::hello);
        VoterDiscovery discovery = new VoterDiscovery(mesh, time, true, 1);
        mesh.subscribe(discovery);
        for (FakePeer peer : peers) {
            mesh.onOpen(peer);
            mesh.onMessage(peer, hello());
        }
        return discovery;
    }

    /** Asks as often as a member without a group does. */
    private boolean isAllowedWithin(VoterDiscovery discovery, Duration duration) {
        long until = time.nanoTime() + duration.toNanos();
        boolean isAllowed = discovery.mayBootstrap();
        while (!isAllowed && time.nanoTime() + ASK_INTERVAL.toNanos() <= until) {
            time.advance(ASK_INTERVAL.toNanos());
            isAllowed = discovery.mayBootstrap();
        }
        return isAllowed;
    }

    private static String name(int number) {
        return "127.9.9.9:" + number;
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", true, false, false, 0, "", 0, 1);
    }
}
