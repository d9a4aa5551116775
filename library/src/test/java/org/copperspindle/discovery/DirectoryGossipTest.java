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
import org.junit.jupiter.params.provider.EnumSource;
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
     * Upstreams announce themselves every 1.2 s to one node each, which forwards the announcements. With many
     * upstreams per node the node must batch them instead of sending one message per announcement. A batched
     * announcement must carry its age: treated as fresh, it would keep a dead upstream in use for longer.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 40})
    void repeatedAnnouncementsAreBatchedWithTheirAge(int upstreams) {
        for (int round = 0; round < 10; round++) {
            for (int i = 0; i < upstreams; i++) {
                gossip.onAnnouncement(announcement(i, round));
                time.advance(Duration.ofMillis(1200).toNanos() / upstreams);
            }
        }
        List<UpstreamRecordsMessage> repeats = other.sent(UpstreamRecordsMessage.class).stream()
                .skip(upstreams)
                .toList();
        assertThat(repeats).hasSizeBetween(9, 20);
        assertThat(repeats)
                .allSatisfy(message -> assertThat(message.records())
                        .allSatisfy(each -> assertThat(each.ageMillis()).isBetween(0L, 600L)));
        assertThat(repeats.get(3).records().get(0).ageMillis()).isEqualTo(600);
    }

    /** A draining upstream must stop receiving work quickly, so a change is not batched. */
    @Test
    void changesAreForwardedImmediately() {
        gossip.onAnnouncement(announcement(1, 0));
        gossip.onLeft("u1", UpstreamRecord.UNKNOWN_INCARNATION, "drained");
        assertThat(other.sent(UpstreamRecordsMessage.class)).hasSize(2);
    }

    /** Guards against requests to upstreams whose departure was lost with one of several connections to a node. */
    @ParameterizedTest
    @EnumSource
    void departureOnALostConnectionIsSentAgain(Departure departure) {
        mesh.subscribe(gossip);
        gossip.onAnnouncement(announcement(1, 0));
        time.advance(Duration.ofSeconds(10).toNanos());
        FakePeer second = new FakePeer("127.0.0.1:2");
        mesh.onOpen(second);
        departure.say(gossip);
        int before = other.sent(UpstreamRecordsMessage.class).size();
        mesh.onClose(second);
        assertThat(other.sent(UpstreamRecordsMessage.class).stream().skip(before))
                .anySatisfy(message -> assertThat(message.records())
                        .anySatisfy(each -> assertThat(each.phase()).isNotEqualTo(UpstreamPhase.READY)));
    }

    /** Guards against a departure that does not reach a node which is cut off from the one that heard it. */
    @Test
    void departureIsPassedOnToNodesThatItsSenderDoesNotReach() {
        mesh.subscribe(gossip);
        gossip.onAnnouncement(announcement(1, 0));
        FakePeer cutOff = new FakePeer("127.0.0.1:3");
        mesh.onOpen(cutOff);
        mesh.onMessage(cutOff, HELLO);
        int before = cutOff.sent(UpstreamRecordsMessage.class).size();
        mesh.onMessage(
                other, new UpstreamRecordsMessage(List.of(announcement(1, 0).gone())));
        assertThat(cutOff.sent(UpstreamRecordsMessage.class).stream().skip(before))
                .singleElement()
                .satisfies(
                        message -> assertThat(message.records().get(0).phase()).isEqualTo(UpstreamPhase.GONE));
    }

    /** Guards against announcements that undo at other nodes what the upstream said in a response. */
    @Test
    void upstreamThatLeavesIsNotPassedOnAsReady() {
        gossip.onAnnouncement(announcement(1, 0));
        gossip.onLeaving("u1");
        int before = other.sent(UpstreamRecordsMessage.class).size();
        gossip.onAnnouncement(announcement(1, 1));
        time.advance(Duration.ofSeconds(1).toNanos());
        assertThat(other.sent(UpstreamRecordsMessage.class).stream().skip(before))
                .isNotEmpty()
                .allSatisfy(message -> assertThat(message.records())
                        .allSatisfy(each -> assertThat(each.phase()).isEqualTo(UpstreamPhase.LEAVING)));
    }

    /** Ways in which an upstream says once that it leaves. */
    private enum Departure {
        DEREGISTERED {
            @Override
            void say(DirectoryGossip listener) {
                listener.onLeft("u1", UpstreamRecord.UNKNOWN_INCARNATION, "deregistered");
            }
        },
        STATED_IN_A_RESPONSE {
            @Override
            void say(DirectoryGossip listener) {
                listener.onLeaving("u1");
            }
        };

        abstract void say(DirectoryGossip listener);
    }

    private static UpstreamRecord announcement(int number, long sequence) {
        return new UpstreamRecord(
                "u" + number,
                0,
                "p",
                "10.0.0." + number + ":1",
                "d",
                UpstreamPhase.READY,
                1,
                sequence,
                0,
                0,
                SoftwareVersion.UNSTATED);
    }
}
