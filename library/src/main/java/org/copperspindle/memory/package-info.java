/**
 * The memory that a process holds for its callers: one budget, the policy that admits the bytes of arriving requests, and the
 * policy that decides which responses are broken off when it runs short.
 */
package org.copperspindle.memory;
