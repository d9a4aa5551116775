package org.copperspindle.engineload;

/**
 * A prompt that an engine has read.
 *
 * @param engine       id of the engine
 * @param tokens       tokens that it had to read
 * @param sentAt       when the attempt was sent, monotonic time in nanoseconds
 * @param firstEventAt when its first event came, monotonic time in nanoseconds
 */
record ReadPrompt(String engine, long tokens, long sentAt, long firstEventAt) {}
