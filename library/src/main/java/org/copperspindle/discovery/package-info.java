/**
 * Upstreams as they announce themselves: soft state, kept by every node and passed on between nodes.
 */
package org.copperspindle.discovery;
