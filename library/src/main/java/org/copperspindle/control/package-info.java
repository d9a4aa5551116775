/**
 * Control at the leader: the replicated state, configuration changes, leases of members, claims, and updates to
 * members.
 */
package org.copperspindle.control;
