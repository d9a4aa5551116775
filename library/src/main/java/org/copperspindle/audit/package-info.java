/**
 * Hash-chained trail of changes, orders, membership and repairs, derived from the replicated log.
 */
package org.copperspindle.audit;
