package org.copperspindle.standby;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshNode;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.mesh.TestMeshNodes;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * How often a standby asks for the nodes that membership designates. Each question compares all nodes of the mesh; at
 * every check and heartbeat it would use most of the processor time of the control functions.
 */
class StandbyChoiceCountTest {

    private static final long MILLI = 1_000_000L;
    private static final String SELF = "127.0.0.1:2";

    /** Three questions in each of up to four evaluations, which are 400 ms apart. */
    private static final int MAX_QUESTIONS_PER_SECOND = 12;

    private final VirtualTimerService time = new VirtualTimerService();
    private final WireTransport transport = new WireTransport(
            1, WireTransport.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final CountingChoice choice = new CountingChoice();
    private final ActingDispatchers acting = new ActingDispatchers(choice, SELF, time::nanoTime);
    private final MeshNode dispatcher = TestMeshNodes.node("d");

    @AfterEach
    void close() {
        transport.close();
    }

    /** Heartbeats at rest, and checks in a takeover, must not compare all nodes each time. */
    @Test
    void rolesAreEvaluatedRarely() {
        StandbyDispatchers standby = start();
        receiveHeartbeats(standby, 500);
        choice.asked = 0;
        receiveHeartbeats(standby, 1000);
        assertThat(choice.asked).isBetween(1, MAX_QUESTIONS_PER_SECOND);

        time.advance(400 * MILLI);
        assertThat(standby.counters().active()).isEqualTo(1);
        choice.asked = 0;
        time.advance(1000 * MILLI);
        assertThat(choice.asked).isBetween(1, MAX_QUESTIONS_PER_SECOND);
        assertThat(acting.of("p")).isEqualTo(SELF);
    }

    private StandbyDispatchers start() {
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 2);
        NodeMesh mesh = new NodeMesh(
                new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
                transport,
                time,
                () -> new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0));
        Set<String> pools = Set.of("p");
        StandbyDispatchers standby = new StandbyDispatchers(
                new MeshRelay(mesh, WireTransport.registry()),
                time,
                acting,
                () -> pools,
                () -> false,
                new StallDetector(time::nanoTime, () -> time.nanoTime() / MILLI),
                new LogRateLimiter(0, 0));
        standby.start();
        return standby;
    }

    private void receiveHeartbeats(StandbyDispatchers standby, long millis) {
        for (long at = 0; at < millis; at += 80) {
            time.advance(80 * MILLI);
            standby.onMessage(dispatcher, new DispatcherHeartbeatMessage(List.of("p")));
        }
    }

    /** Fixed roles; counts the questions that compare nodes. */
    private static final class CountingChoice implements DispatcherChoice {
        private int asked;

        @Override
        public String dispatcherNode(String pool) {
            asked++;
            return "d";
        }

        @Override
        public Optional<String> standbyNode(String pool) {
            asked++;
            return Optional.of(SELF);
        }

        @Override
        public OptionalLong incarnation(String node) {
            return OptionalLong.of(1);
        }

        @Override
        public boolean canReach(String node) {
            asked++;
            return true;
        }

        @Override
        public List<String> lostButReachable() {
            return List.of();
        }
    }
}
