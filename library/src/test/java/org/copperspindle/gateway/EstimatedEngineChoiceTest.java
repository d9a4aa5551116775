package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamPhase;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.engineload.EngineLoads;
import org.copperspindle.engineload.EngineLoadsMessage;
import org.copperspindle.engineload.EnginePrompt;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class EstimatedEngineChoiceTest {

    private static final long MILLI = 1_000_000L;
    private static final List<String> IDS = List.of("slow", "fast", "pausing");

    private final WireTransport transport = new WireTransport(
            1, GatewayMessages.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            EstimatedEngineChoiceTest::hello);
    private final FakePeer owner = new FakePeer("127.0.0.1:2");
    private final UpstreamDirectory directory = new UpstreamDirectory();
    private final EngineLoads loads =
            new EngineLoads(mesh, time, directory, pool -> "127.0.0.1:2", "p"::equals, new LogRateLimiter(0, 0));
    private final EngineChoice choice = new EstimatedEngineChoice(loads, (demand, all, accepts) -> Optional.empty());

    EstimatedEngineChoiceTest() {
        mesh.subscribe(loads);
        mesh.onOpen(owner);
        mesh.onMessage(owner, hello());
        IDS.forEach(id -> directory.accept(
                new UpstreamRecord(
                        id,
                        1,
                        "p",
                        "10.0.0." + IDS.indexOf(id) + ":1",
                        "d",
                        UpstreamPhase.READY,
                        64,
                        1,
                        0,
                        0,
                        SoftwareVersion.UNSTATED),
                0));
        for (int i = 0; i < 8; i++) {
            mesh.onMessage(owner, table());
            time.advance(160 * MILLI);
        }
    }

    @AfterEach
    void close() {
        transport.close();
    }

    /** Long prompts would be late on the slow engine. It must not keep them, but short ones. */
    @ParameterizedTest
    @CsvSource({"12000, false", "300, true"})
    void slowEngineGetsOnlyWhatItDoesNotMakeLate(long tokens, boolean slow) {
        Set<String> chosen = choose(tokens, IDS);
        assertThat(chosen.contains("slow")).isEqualTo(slow);
        assertThat(chosen).contains("fast", "pausing");
    }

    /** All other engines are excluded: a request must go to the engine that is left rather than be refused. */
    @ParameterizedTest
    @CsvSource({"slow", "pausing"})
    void lastEngineIsUsed(String engine) {
        assertThat(choose(12_000, List.of(engine))).containsExactly(engine);
    }

    private Set<String> choose(long tokens, List<String> accepted) {
        Set<String> chosen = new HashSet<>();
        for (int part = 0; part < 50; part++) {
            EngineDemand demand = new EngineDemand("p", new EnginePrompt("part" + part, 0, tokens), 1700 * MILLI, 0);
            choice.choose(demand, directory.ready("p"), engine -> accepted.contains(engine.id()))
                    .ifPresent(engine -> chosen.add(engine.id()));
        }
        return chosen;
    }

    private static EngineLoadsMessage table() {
        List<Long> zeros = List.of(0L, 0L, 0L);
        return new EngineLoadsMessage(
                "p", IDS, zeros, zeros, List.of(450L, 1000L, 1000L), List.of(0L, 0L, 500L), 40_000, 20, 0, 450);
    }

    private static NodeHelloMessage hello() {
        return new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", 0, 0);
    }
}
