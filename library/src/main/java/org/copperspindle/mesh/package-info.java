/**
 * The nodes of a deployment and the connections between them: found from a few seed addresses, each connected to each.
 * Soft state, owned by the network thread; what must survive belongs to {@code consensus}.
 */
package org.copperspindle.mesh;
