/**
 * Replicated log of the control members: election, append, snapshots, repair, leases of members.
 */
package org.copperspindle.control;
