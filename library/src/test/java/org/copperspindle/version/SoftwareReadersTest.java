package org.copperspindle.version;

import java.net.InetSocketAddress;
import java.util.List;

import org.copperspindle.mesh.FakePeer;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** During a rolling restart a member of an older build would fail at a command that it can't read. */
class SoftwareReadersTest {

    private static final long OLDER_BUILD = -1;

    private final InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
    private final VirtualTimerService time = new VirtualTimerService();
    private final WireTransport transport = new WireTransport(
            1, WireTransport.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", "127.0.0.1:1", 1));
    private final NodeMesh mesh = new NodeMesh(
            new MeshSettings(listen, listen, "127.0.0.1:9", "d", false, List.of()), transport, time, () -> hello(true));
    private final VersionExchange exchange = new VersionExchange(mesh, time, Runnable::run);
    private final FakePeer other = new FakePeer("127.0.0.1:2");

    @BeforeEach
    void subscribe() {
        mesh.subscribe(exchange);
        mesh.onOpen(other);
    }

    @AfterEach
    void close() {
        transport.close();
    }

    @ParameterizedTest
    @CsvSource({"true, 0, true", "true, 7, true", "true, -1, false", "false, -1, true"})
    void changesWaitForNodesWithADisk(boolean durable, long software, boolean readable) {
        mesh.onMessage(other, hello(durable));
        assertThat(exchange.isSoftwareReadable()).isEqualTo(!durable);
        requestLease(software);
        assertThat(exchange.isSoftwareReadable()).isEqualTo(readable);
    }

    /** The node may come back with the older build. */
    @Test
    void lostNodeHasToRequestALeaseAgain() {
        mesh.onMessage(other, hello(true));
        requestLease(0);
        mesh.onClose(other);
        assertThat(exchange.isSoftwareReadable()).isTrue();
        mesh.onOpen(other);
        mesh.onMessage(other, hello(true));
        requestLease(OLDER_BUILD);
        assertThat(exchange.isSoftwareReadable()).isFalse();
    }

    private void requestLease(long software) {
        mesh.onMessage(other, new VersionLeaseRequestMessage(1, 0, 0, software));
    }

    private static NodeHelloMessage hello(boolean durable) {
        return new NodeHelloMessage("127.0.0.1:9", "d", durable, true, false, 0, "", 0, 1);
    }
}
