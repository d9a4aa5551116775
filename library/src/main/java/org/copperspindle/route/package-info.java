/**
 * The configuration of a deployment: routes by host and path, pools of upstreams, stages, keys of client accounts and
 * limits on callers, as one checked table with a version.
 */
package org.copperspindle.route;
