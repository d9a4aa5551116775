/**
 * Load and pace of model engines as all nodes together measure them, and the estimated time to the first event.
 */
package org.copperspindle.engineload;
