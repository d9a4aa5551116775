package org.copperspindle.agent;

import java.util.Optional;

/**
 * An entry's knowledge of one life of an agent's clock, for stamping orders. The reading is taken as if it had arrived
 * without delay, so the estimate is never ahead of the agent's real clock but for the drift of two monotonic clocks
 * over the age of the reading, which the agent bounds. Safeguard: without the stamp an agent could not tell a fresh
 * order from one that lay in a socket while its attempt was reported {@code NOT_RUN}; it would run work that the caller
 * has meanwhile sent elsewhere.
 */
public final class AgentClock {

    private final long incarnation;
    private final long readingMicros;
    private final long receivedAtNanos;

    private AgentClock(long incarnation, long readingMicros, long receivedAtNanos) {
        this.incarnation = incarnation;
        this.readingMicros = readingMicros;
        this.receivedAtNanos = receivedAtNanos;
    }

    /**
     * Takes a reading.
     *
     * @param report the agent's report
     * @param now    nanoseconds of the entry's timer service when it arrived
     * @return the clock
     */
    public static AgentClock of(LoadReportMessage report, long now) {
        return new AgentClock(report.agentIncarnation(), report.clockMicros(), now);
    }

    /**
     * Returns the life of the agent whose clock this is.
     *
     * @return its incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the agent's own reading.
     *
     * @return microseconds of the agent's clock
     */
    public long readingMicros() {
        return readingMicros;
    }

    /**
     * Stamps an order.
     *
     * @param order  the order
     * @param madeAt nanoseconds of the entry's timer service when its time left was worked out
     * @param now    nanoseconds of the entry's timer service
     * @return the stamped order; empty if it must not be sent, because it is meant for another life of the agent or its
     *     deadline has passed here: the agent forgets refusals counting on no order being stamped after its deadline
     */
    public Optional<StampedOrderMessage> stamp(AttemptOrderMessage order, long madeAt, long now) {
        long waitedMicros = (now - madeAt) / 1000;
        if (order.agentIncarnation() != incarnation || waitedMicros >= order.timeLeftMicros()) {
            return Optional.empty();
        }
        long nowMicros = readingMicros + (now - receivedAtNanos) / 1000;
        return Optional.of(
                new StampedOrderMessage(order, nowMicros - waitedMicros + order.timeLeftMicros(), readingMicros));
    }
}
