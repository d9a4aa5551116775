/**
 * Log lines of a node, behind the interface of Log4j 2. A node starts on a small part of a core, and Log4j's own core, with its
 * plugins and configuration, would need much of the processor time until it is ready to serve.
 */
package org.copperspindle.logging;
