/**
 * Measurements of what each role costs as it grows: small stand-ins on one machine, a straight line through the points,
 * and the value that the line gives at the size to design for.
 */
package org.copperspindle.capacity;
