package org.copperspindle.wire;

/**
 * A message between two of the system's own processes. Implementations are records; each slice declares its own and
 * registers a {@link MessageCodec} for them.
 */
public interface WireMessage {}
