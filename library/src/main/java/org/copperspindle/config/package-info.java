/**
 * Deployment configuration: validated and applied as a unit, versioned, and never reverted.
 */
package org.copperspindle.config;
