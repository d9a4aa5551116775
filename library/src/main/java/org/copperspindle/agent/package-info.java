/**
 * Runs beside one upstream: announces it, executes attempts at most once, keeps outcomes and drains.
 */
package org.copperspindle.agent;
