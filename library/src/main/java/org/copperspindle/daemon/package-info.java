/**
 * Assembles a process from its settings: one ring, one transport, and the roles that the file names.
 */
package org.copperspindle.daemon;
