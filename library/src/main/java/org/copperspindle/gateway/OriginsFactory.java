package org.copperspindle.gateway;

import java.util.concurrent.Executor;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.MajorityWatch;
import org.copperspindle.mesh.NodeMesh;
import org.copperspindle.origin.ObservedSoftware;
import org.copperspindle.origin.OriginStores;
import org.copperspindle.origin.SharedStreamOrigins;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionHolder;

/**
 * Creates the stream origins of a node and connects them with the other nodes, the directory and the recorded versions.
 */
final class OriginsFactory {

    private OriginsFactory() {}

    static SharedStreamOrigins create(
            GatewaySettings settings,
            NodeMesh mesh,
            TimerService timers,
            Executor network,
            UpstreamDirectory directory,
            VersionHolder holder) {
        MajorityWatch majority = new MajorityWatch(mesh::count, timers);
        StreamLifetime lifetime = new StreamLifetime(holder::heldTable);
        ObservedSoftware observed = new ObservedSoftware(directory, majority, timers, lifetime);
        AgreedSoftware agreed =
                new AgreedSoftware(holder, observed, () -> majority.lostAt().isPresent(), timers);
        SharedStreamOrigins origins = new SharedStreamOrigins(mesh, majority, timers, observed, agreed, lifetime);
        origins.storeOn(
                OriginStores.open(settings.dataFolder(), timers, network, lifetime), settings.toleratedLosses());
        mesh.subscribe(majority);
        mesh.subscribe(origins);
        directory.subscribe(origins::onUpstreamChange);
        holder.subscribeSoftware(software -> software.versionsByPool().keySet().forEach(origins::onSoftwareChange));
        return origins;
    }

    static SoftwareProposer createProposer(
            GatewaySettings settings,
            VersionExchange exchange,
            VersionHolder holder,
            NodeMesh mesh,
            UpstreamDirectory directory,
            TimerService timers) {
        SoftwareProposer proposer = new SoftwareProposer(
                new GroupSoftwareProposals(exchange, holder),
                holder::heldTable,
                directory,
                timers,
                new StreamLifetime(holder::heldTable),
                holder.lease(),
                new SoftwareDeferral(directory, timers.nanoTime(), settings.firstStart()));
        mesh.subscribe(proposer);
        directory.subscribe(upstream -> proposer.check());
        return proposer;
    }
}
