package org.copperspindle.agent;

import java.util.Optional;

/**
 * An entry's estimate of the clock of one incarnation of an agent, for stamping orders. A reading is taken as if it had
 * arrived without delay, so the estimate is never ahead of the agent's real clock, except for the drift between two
 * monotonic clocks over the age of the reading, which the agent limits. Without the stamp an agent could not tell a
 * fresh order from one that was delayed in a socket buffer while its attempt was reported {@code NOT_RUN}; it would run
 * work that the caller has meanwhile sent elsewhere.
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
     * Creates the estimate from a load report.
     *
     * @param report the agent's report
     * @param now    nanoseconds of the entry's timer service when it arrived
     * @return the estimate
     */
    public static AgentClock of(LoadReportMessage report, long now) {
        return new AgentClock(report.agentIncarnation(), report.clockMicros(), now);
    }

    /**
     * Returns the incarnation of the agent whose clock this is.
     *
     * @return its incarnation
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the reported reading.
     *
     * @return microseconds of the agent's clock
     */
    public long readingMicros() {
        return readingMicros;
    }

    /**
     * Stamps an order.
     *
     * @param order     the order
     * @param createdAt nanoseconds of the entry's timer service when the order's time to the deadline was computed
     * @param now       nanoseconds of the entry's timer service
     * @return the stamped order; empty if it must not be sent, because it is for another incarnation of the agent or its
     *     deadline has passed: the agent forgets refusals on the assumption that no order is stamped after its deadline
     */
    public Optional<StampedOrderMessage> stamp(AttemptOrderMessage order, long createdAt, long now) {
        long waitedMicros = (now - createdAt) / 1000;
        if (order.agentIncarnation() != incarnation || waitedMicros >= order.timeLeftMicros()) {
            return Optional.empty();
        }
        long nowMicros = readingMicros + (now - receivedAtNanos) / 1000;
        return Optional.of(
                new StampedOrderMessage(order, nowMicros - waitedMicros + order.timeLeftMicros(), readingMicros));
    }
}
