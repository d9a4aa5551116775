package org.copperspindle.gateway;

import java.util.Set;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.NodeMesh;

/**
 * The names of failure domains that an operator may give: those of the settings, of nodes and of upstreams. An order on any other
 * name is a slip of the pen, and would be acknowledged without any effect. Where settings declare none, any name is taken: a node that
 * has just started has seen neither nodes nor upstreams, and must not refuse an order that another one has taken.
 */
final class KnownDomains {

    private final Set<String> declared;
    private final String own;
    private final NodeMesh mesh;
    private final UpstreamDirectory directory;

    /**
     * Creates the rule.
     *
     * @param settings  settings of this node
     * @param mesh      the other nodes
     * @param directory the upstreams
     */
    KnownDomains(GatewaySettings settings, NodeMesh mesh, UpstreamDirectory directory) {
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
