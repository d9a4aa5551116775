/**
 * What a deployment allows: routes by host and path, pools of upstreams, stages, keys of client accounts and bounds on
 * callers, as one checked table with a version.
 */
package org.copperspindle.route;
