package org.copperspindle.gateway;

import java.util.Set;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.mesh.NodeMesh;

/**
 * The names of failure domains that an operator may give: those of the settings, of nodes and of upstreams. An order on any other
 * name is a slip of the pen, and would be acknowledged without any effect.
 */
final class KnownDomains {

    private final Set<String> declared;
    private final NodeMesh mesh;
    private final UpstreamDirectory directory;

    /**
     * Creates the rule.
     *
     * @param declared  names in this node's settings, its own among them
     * @param mesh      the other nodes
     * @param directory the upstreams
     */
    KnownDomains(Set<String> declared, NodeMesh mesh, UpstreamDirectory directory) {
        this.declared = Set.copyOf(declared);
        this.mesh = mesh;
        this.directory = directory;
    }

    boolean isKnown(String name) {
        return declared.contains(name)
                || mesh.nodes().stream()
                        .anyMatch(node -> node.hello().failureDomain().equals(name))
                || directory.hasDomain(name);
    }
}
