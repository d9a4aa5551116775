package org.copperspindle.emulator;

/**
 * When an upstream ends by a request that it runs.
 */
public enum CrashMoment {
    /** As soon as it has read the request. */
    AT_ONCE,
    /** After two events of a stream. */
    IN_THE_STREAM
}
