/**
 * Leases and incarnations of processes and upstreams, and the view of them that an entry holds.
 */
package org.copperspindle.membership;
