package org.copperspindle.wire;

import java.time.Duration;

/**
 * Limits on the memory and time that one connection between the system's own processes may take.
 *
 * @param maxFrameBytes   largest payload accepted or sent
 * @param maxPendingBytes most bytes that may wait for a peer that doesn't read; beyond them the connection is closed
 * @param greetingTimeout longest time from connect to the complete greeting of the peer, however slowly its bytes
 *                        arrive
 * @param heartbeat       time without a write after which this side sends a heartbeat
 * @param silence         time without received bytes after which the peer counts as dead; several heartbeats long
 */
public record WireLimits(
        int maxFrameBytes, long maxPendingBytes, Duration greetingTimeout, Duration heartbeat, Duration silence) {

    /**
     * Default limits. Heartbeats cost an idle connection one frame of 6 bytes in each direction every 5 s, and a
     * busy one nothing.
     */
    public static final WireLimits DEFAULT = new WireLimits(
            WireTransport.MAX_FRAME_BYTES,
            2L * WireTransport.MAX_FRAME_BYTES,
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            Duration.ofSeconds(16));
}
