package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.RouteTableResult;
import org.copperspindle.route.TestRoutes;
import org.copperspindle.time.SuspensionDetector;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;
import org.copperspindle.version.VersionLeaseResponseMessage;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A node that belongs to no control group and knows no leader.
 */
class HeldChangeTest {

    private static final long HELD = 3;

    private long requested;
    private final VirtualTimerService time = new VirtualTimerService();
    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final WireTransport transport = new WireTransport(
            1, GatewayMessages.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()),
            transport,
            time,
            () -> new NodeHelloMessage("127.0.0.1:9", "d", false, true, false, 0, "", HELD, 1));
    private final VersionExchange exchange = new VersionExchange(mesh, time, Runnable::run);
    private final VersionHolder holder = new VersionHolder(
            time,
            text -> new RouteTableResult.Valid(table(HELD)),
            Duration.ofMillis(3800),
            new SuspensionDetector(time::nanoTime, () -> time.nanoTime() / 1_000_000L),
            request -> requested = request.sequence());
    private final ControlGroupClient client = new ControlGroupClient(
            exchange, holder, Runnable::run, new SubmissionLog(time, exchange, new GatewayCounters()));

    @AfterEach
    void close() {
        transport.close();
    }

    /**
     * Guards against a change that is sent again and refused by a node which holds it, for want of a leader, and against one
     * that is acknowledged while the leader still leases an older version.
     */
    @ParameterizedTest
    @CsvSource({"2, true, true", "3, true, true", "4, true, false", "3, false, false"})
    void changeThatIsLeasedIsAcknowledgedWithoutALeader(long version, boolean isLeased, boolean isAcknowledged) {
        exchange.holder(holder);
        holder.receive(version(HELD));
        holder.requestLease();
        if (isLeased) {
            holder.receive(new VersionLeaseResponseMessage(requested, HELD, 0, 0));
        }
        List<ControlResponse> responses = new ArrayList<>();
        client.put(table(version), version(version), responses::add);
        assertThat(responses).hasSize(1);
        assertThat(responses.get(0) instanceof ControlResponse.Recorded).isEqualTo(isAcknowledged);
    }

    private static VersionMessage version(long number) {
        return new VersionMessage(number, Long.toString(number).getBytes(StandardCharsets.UTF_8));
    }

    private static RouteTable table(long version) {
        return TestRoutes.table(version, List.of(), List.of());
    }
}
