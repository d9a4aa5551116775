/**
 * Directory of upstreams as they announce themselves: soft state that every node keeps and exchanges with the other
 * nodes.
 */
package org.copperspindle.discovery;
