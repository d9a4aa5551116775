/**
 * Capacity measurements: how the cost of each role grows with its load. Small stand-in deployments are measured on one
 * machine, and a linear fit extrapolates the cost to the design size.
 */
package org.copperspindle.capacity;
