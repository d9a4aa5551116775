/**
 * Length-prefixed MessagePack frames over TCP between the system's own processes.
 */
package org.copperspindle.wire;
