/**
 * Path of a caller's request through a node directly in front of the upstreams: routing and authentication by key,
 * stages, attempts, response. Decisions run on the network thread that owns the sockets; wire formats are left to
 * dialects.
 */
package org.copperspindle.gateway;
