/**
 * A small implementation of the Log4j 2 API that writes log lines. A node has only a small share of a core at
 * startup, and Log4j's own core, with its plugins and configuration, would use much of the CPU time until the node
 * is ready.
 */
package org.copperspindle.logging;
