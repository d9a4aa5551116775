/**
 * The path of one caller's request through a node that stands directly before the upstreams: route and key, stages,
 * attempt, answer. Decisions run on the network thread that owns the sockets; what the wire looks like is left to
 * dialects.
 */
package org.copperspindle.gateway;
