/**
 * Length-framed TCP with MessagePack between the system's own processes.
 */
package org.copperspindle.wire;
