/**
 * Standby dispatchers. The dispatcher of a pool sends heartbeats to one other node, its standby, which dispatches the
 * pool while the dispatcher is silent: much earlier than a silent connection is closed.
 */
package org.copperspindle.standby;
