/**
 * Deployment configuration: parsed and checked as a whole, applied as a whole, versioned, never reverted.
 */
package org.copperspindle.config;
