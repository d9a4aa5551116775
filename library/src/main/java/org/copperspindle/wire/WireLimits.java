package org.copperspindle.wire;

import java.time.Duration;

/**
 * Bounds on what one connection between the system's own processes may make this process hold, and for how long.
 *
 * @param maxFrameBytes   largest payload taken or sent
 * @param maxPendingBytes bytes that may wait for a peer that does not read; beyond them the connection is closed
 * @param greetingTimeout from the connection to the peer's greeting, however slowly its bytes arrive
 * @param heartbeat       silence of this side after which it sends a heartbeat
 * @param silence         silence of the peer after which it is taken for dead; several heartbeats long
 */
public record WireLimits(
        int maxFrameBytes, long maxPendingBytes, Duration greetingTimeout, Duration heartbeat, Duration silence) {

    /**
     * Limits in service. An idle connection costs one frame of 6 bytes in each direction every 5 s, a busy one nothing.
     */
    public static final WireLimits DEFAULT = new WireLimits(
            WireTransport.MAX_FRAME_BYTES,
            2L * WireTransport.MAX_FRAME_BYTES,
            Duration.ofSeconds(5),
            Duration.ofSeconds(5),
            Duration.ofSeconds(16));
}
