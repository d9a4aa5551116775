package org.copperspindle.gateway;

import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.origin.ObservedSoftware;
import org.copperspindle.origin.OriginStores;
import org.copperspindle.origin.SharedStreamOrigins;
import org.copperspindle.route.RouteTable;
import org.copperspindle.time.TimerService;

/**
 * Creates the stream origins of a node and connects them with the other nodes and the directory.
 */
final class OriginsFactory {

    private OriginsFactory() {}

    static SharedStreamOrigins create(
            GatewaySettings settings,
            NodeMesh mesh,
            TimerService timers,
            Executor network,
            UpstreamDirectory directory,
            Supplier<Optional<RouteTable>> tables) {
        MajorityWatch majority = new MajorityWatch(mesh::count, timers);
        StreamLifetime lifetime = new StreamLifetime(tables);
        ObservedSoftware observed = new ObservedSoftware(directory, majority, timers, lifetime);
        SharedStreamOrigins origins = new SharedStreamOrigins(mesh, majority, timers, observed, observed, lifetime);
        origins.storeOn(
                OriginStores.open(settings.dataFolder(), timers, network, lifetime), settings.toleratedLosses());
        mesh.subscribe(majority);
        mesh.subscribe(origins);
        directory.subscribe(origins::onUpstreamChange);
        return origins;
    }
}
