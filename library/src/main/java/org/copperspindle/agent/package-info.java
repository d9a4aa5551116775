/**
 * The agent of one upstream: announces it, executes each attempt at most once, keeps outcomes, and drains.
 */
package org.copperspindle.agent;
