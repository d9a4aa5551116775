package org.copperspindle.engineload;

import java.time.Duration;

/**
 * Rate at which all nodes together send prompt tokens to a pool.
 */
final class SendRate {

    /** A burst is seen within a second, and single long prompts hardly matter. */
    private static final double TIME_CONSTANT_NANOS = Duration.ofSeconds(1).toNanos();

    private double sum;
    private long decayedAt;

    void add(long tokens, long now) {
        decay(now);
        sum += tokens;
    }

    long perSecond(long now) {
        decay(now);
        return Math.min(ValueBounds.MAX_TOKENS, Math.round(sum / TIME_CONSTANT_NANOS * EngineLoads.NANOS_PER_SECOND));
    }

    private void decay(long now) {
        sum *= Math.exp((decayedAt - now) / TIME_CONSTANT_NANOS);
        decayedAt = now;
    }
}
