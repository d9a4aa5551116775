/**
 * Log lines of a node, behind the interface of Log4j 2. A node starts on a small part of a core, and setting up Log4j's own core,
 * with its plugins and configuration, took half of the processor time until it was ready to serve.
 */
package org.copperspindle.logging;
