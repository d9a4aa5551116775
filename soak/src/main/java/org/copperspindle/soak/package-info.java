/**
 * Runs nodes as separate processes on loopback and disturbs them from outside, while callers, upstreams and an operator
 * check what was promised to them. What the nodes say of themselves counts for nothing.
 */
package org.copperspindle.soak;
