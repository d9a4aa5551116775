/**
 * Hash-chained audit trail of configuration changes, orders, membership and voter repairs, derived from the replicated
 * log.
 */
package org.copperspindle.audit;
