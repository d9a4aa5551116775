package org.copperspindle.backpressure;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What one incarnation of an upstream has stated of its load. Paces are averaged with weights that halve with their
 * age, so that responses which arrive out of order at about the same time give the same average.
 */
final class StatedLoad {

    /** Longer than the fluctuations within a call, shorter than the slowdowns that matter to the calls after it. */
    private static final double HALF_LIFE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final double PERCENT = 100;

    /**
     * Bounds of a stated pace. Beyond them a single false figure would determine the average for seconds; an upstream
     * that is twenty times slower than usual gets hardly any work anyhow.
     */
    private static final double MIN_PACE = 0.2;

    private static final double MAX_PACE = 20;

    private final long incarnation;
    private UpstreamLoadSignal.Stated latest;
    private long statedAt;
    private long paceStatedAt;
    private double sum;
    private double weight;

    StatedLoad(long incarnation) {
        this.incarnation = incarnation;
    }

    long incarnation() {
        return incarnation;
    }

    void add(UpstreamLoadSignal.Stated stated, long now) {
        latest = stated;
        statedAt = now;
        stated.pacePercent().ifPresent(percent -> addPace(percent / PERCENT, now));
    }

    /** Returns the last statement unless it is too old. */
    Optional<UpstreamLoadSignal.Stated> latest(long now, long maxAgeNanos) {
        return latest != null && now - statedAt <= maxAgeNanos ? Optional.of(latest) : Optional.empty();
    }

    /** Returns the average pace, 1 for the usual one, unless the last figure is too old. */
    OptionalDouble pace(long now, long maxAgeNanos) {
        boolean isFresh = weight > 0 && now - paceStatedAt <= maxAgeNanos;
        return isFresh ? OptionalDouble.of(sum / weight) : OptionalDouble.empty();
    }

    private void addPace(double pace, long now) {
        double decay = weight > 0 ? Math.pow(0.5, Math.max(0, now - paceStatedAt) / HALF_LIFE_NANOS) : 0;
        sum = sum * decay + Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
        weight = weight * decay + 1;
        paceStatedAt = now;
    }
}
