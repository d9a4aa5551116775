/**
 * The memory that a node holds for its callers: one budget, and the policy that decides which responses are broken off
 * when it runs short.
 */
package org.copperspindle.memory;
