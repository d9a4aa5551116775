package org.copperspindle.resume;

/**
 * How a stream that has lost its engine is resumed.
 *
 * @param lastEventAt when the last event was relayed to the caller, monotonic time in nanoseconds
 * @param onTimeUntil time until which the next event is on time, monotonic time in nanoseconds
 */
public record ResumePlan(long lastEventAt, long onTimeUntil) {

    /**
     * Returns whether the next event is on time.
     *
     * @param at when it is relayed, monotonic time in nanoseconds
     * @return true if the pause before it is not longer than the route allows
     */
    public boolean isInTime(long at) {
        return at - onTimeUntil <= 0;
    }
}
