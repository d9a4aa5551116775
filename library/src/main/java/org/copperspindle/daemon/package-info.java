/**
 * Builds a process from its settings: a decision ring, a transport, and the configured roles.
 */
package org.copperspindle.daemon;
