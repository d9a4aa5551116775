/**
 * The nodes of a deployment and the full mesh of connections between them, discovered from a few seed addresses. The
 * state is soft and owned by the network thread; durable state belongs to {@code consensus}.
 */
package org.copperspindle.mesh;
