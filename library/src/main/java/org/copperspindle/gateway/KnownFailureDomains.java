package org.copperspindle.gateway;

import java.util.Set;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.NodeMesh;

/**
 * Names of failure domains that an operator may use: those of the settings, of nodes and of upstreams. A command for
 * any other name is probably mistyped, and would be acknowledged without any effect. If the settings declare none, any
 * name is accepted: a node that has just started knows neither nodes nor upstreams, and must not refuse a command that
 * another node has accepted.
 */
final class KnownFailureDomains {

    private final Set<String> declared;
    private final String own;
    private final NodeMesh mesh;
    private final UpstreamDirectory directory;

    /**
     * Creates the check.
     *
     * @param settings  settings of this node
     * @param mesh      the other nodes
     * @param directory the upstreams
     */
    KnownFailureDomains(GatewaySettings settings, NodeMesh mesh, UpstreamDirectory directory) {
        this.declared = settings.failureDomains();
        this.own = settings.failureDomain();
        this.mesh = mesh;
        this.directory = directory;
    }

    boolean isKnown(String name) {
        return declared.isEmpty()
                || declared.contains(name)
                || own.equals(name)
                || mesh.nodes().stream()
                        .anyMatch(node -> node.hello().failureDomain().equals(name))
                || directory.hasFailureDomain(name);
    }
}
