package org.copperspindle.wire;

/**
 * A message between two of the system's own processes. Implementations are records; each package declares its own
 * and registers a {@link MessageCodec} for each of them.
 */
public interface WireMessage {}
