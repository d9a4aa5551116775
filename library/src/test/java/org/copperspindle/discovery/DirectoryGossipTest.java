package org.copperspindle.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class DirectoryGossipTest {

    private static final InetSocketAddress OWN = new InetSocketAddress("127.0.0.1", 1);
    private static final NodeHelloMessage HELLO =
            new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 1);

    private final VirtualTimerService time = new VirtualTimerService();
    private final WireTransport transport = new WireTransport(
            1, WireTransport.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(OWN, OWN, "127.0.0.1:9", "d", false, List.of()), transport, time, () -> HELLO);
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final DirectoryGossip gossip = new DirectoryGossip(mesh, time, directory);
    private final FakePeer other = new FakePeer("127.0.0.1:2");

    DirectoryGossipTest() {
        mesh.onOpen(other);
        mesh.onMessage(other, HELLO);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /**
     * Upstreams announce themselves every 1.2 s to one node each, which passes that on. With four upstreams a node its messages
     * to all others must not be as many as the announcements, and what waited for others must carry its age: taken for
     * fresh, an upstream that has died would be used for longer.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 40})
    void repeatedAnnouncementsGoTogetherWithTheirAge(int upstreams) {
        for (int beat = 0; beat < 10; beat++) {
            for (int i = 0; i < upstreams; i++) {
                gossip.onAnnouncement(news(i, beat));
                time.advance(Duration.ofMillis(1200).toNanos() / upstreams);
            }
        }
        List<UpstreamRecordsMessage> repeats = other.sent(UpstreamRecordsMessage.class).stream()
                .skip(upstreams)
                .toList();
        assertThat(repeats).hasSizeBetween(9, 20);
        assertThat(repeats)
                .allSatisfy(message -> assertThat(message.news())
                        .allSatisfy(news -> assertThat(news.ageMillis()).isBetween(0L, 600L)));
        assertThat(repeats.get(3).news().get(0).ageMillis()).isEqualTo(600);
    }

    /** An upstream drains: it must get no new work within a short while, so that this waits for nothing. */
    @Test
    void changeIsPassedOnAtOnce() {
        gossip.onAnnouncement(news(1, 0));
        gossip.onLeft("u1", UpstreamRecord.UNKNOWN_INCARNATION, "drained");
        assertThat(other.sent(UpstreamRecordsMessage.class)).hasSize(2);
    }

    private static UpstreamRecord news(int number, long sequence) {
        return new UpstreamRecord(
                "u" + number, 0, "p", "10.0.0." + number + ":1", "d", UpstreamPhase.READY, 1, sequence, 0, 0);
    }
}
