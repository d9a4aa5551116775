package org.copperspindle.memory;

/**
 * A holder as the policy sees it.
 *
 * @param holder        the holder
 * @param bytes         bytes that it holds, of all kinds
 * @param responseBytes bytes of its response
 * @param unreadNanos   time since its caller last read, in nanoseconds; 0 if nothing waits for the caller
 * @param repeatable    true if the request may be repeated or the stream resumed
 * @param started       true if a part of the response was passed to the caller's connection
 */
record HeldResponse(
        MemoryHolder holder, long bytes, long responseBytes, long unreadNanos, boolean repeatable, boolean started) {}
