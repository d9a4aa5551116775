/**
 * Fair queueing: weighted shares of a resource among client accounts.
 */
package org.copperspindle.fairness;
