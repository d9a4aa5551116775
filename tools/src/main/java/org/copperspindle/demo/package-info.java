/**
 * The demonstration: a complete deployment in one process, a trace replayed over HTTP, and a check of the delivery
 * promises against a ledger that only the fake upstreams write.
 */
package org.copperspindle.demo;
