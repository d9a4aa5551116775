package org.copperspindle.gateway;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.batch.BatchService;
import org.copperspindle.batch.DispatcherStatus;
import org.copperspindle.batch.StagePort;
import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.measure.LogRateLimiter;
import org.copperspindle.mesh.MeshRelay;
import org.copperspindle.mesh.MeshSettings;
import org.copperspindle.mesh.NodeHelloMessage;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Batch service of a single node for tests; the node is the dispatcher of all pools.
 */
final class SingleNodeBatches implements AutoCloseable {

    private static final String SELF = "127.0.0.1:1";
    private static final String CONTROL = "127.0.0.1:9";
    private static final String DOMAIN = "d0";

    private final WireTransport transport = new WireTransport(
            1, WireTransport.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "gateway", SELF, 1));
    private final MeshRelay relay;
    private final BatchService service;

    SingleNodeBatches(
            TimerService timers, UpstreamDirectory directory, StagePort port, Map<String, BatchLimits> limits) {
        InetSocketAddress listen = new InetSocketAddress("127.0.0.1", 1);
        NodeMesh mesh = new NodeMesh(
                new MeshSettings(listen, listen, CONTROL, DOMAIN, false, List.of()),
                transport,
                timers,
                () -> new NodeHelloMessage(CONTROL, DOMAIN, false, true, false, 0, "", 0, 2));
        relay = new MeshRelay(mesh, WireTransport.registry());
        service = new BatchService(
                relay,
                timers,
                directory,
                port,
                name -> Optional.ofNullable(limits.get(name)),
                new SingleNodeStatus(),
                new LogRateLimiter(0, 0));
        service.start();
    }

    MeshRelay relay() {
        return relay;
    }

    BatchService service() {
        return service;
    }

    @Override
    public void close() {
        transport.close();
    }

    /** Status of the only node, which always serves. */
    private static final class SingleNodeStatus implements DispatcherStatus {
        @Override
        public boolean isServing() {
            return true;
        }

        @Override
        public int fitness() {
            return 2;
        }
    }
}
