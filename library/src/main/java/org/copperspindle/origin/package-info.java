/**
 * Where streams began. What two software versions of an upstream write does not fit together, so a caller that takes a
 * stream up at another node may only be sent to the version that began it. While the upstreams of a pool run one version,
 * nothing is stored elsewhere; from the moment at which a second one is known, each stream is recorded at more nodes, first
 * at those with a disk, which keep their records over a start of all nodes.
 */
package org.copperspindle.origin;
