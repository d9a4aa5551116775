package org.copperspindle.agent;

import java.time.Duration;

/**
 * Limits of one agent.
 *
 * @param concurrency  attempts that run at once, until a configuration sets the concurrency of the pool
 * @param queue        most attempts that wait
 * @param records      most attempts that are recorded
 * @param keptBytes    most bytes of kept responses, including the space reserved for unrepeatable attempts in progress
 * @param maxResponse  most bytes of one response; below the largest frame of the wire protocol
 * @param maxDeadline  longest time left of an order; not below the longest deadline of the deployment
 * @param maxClockAge  greatest age of the clock reading of an order
 * @param retention         how long outcomes of unrepeatable attempts are kept after their end
 * @param abortGrace       time after its deadline at which an unrepeatable attempt is aborted
 * @param drainWait    longest wait of a draining agent for its outcomes to be acknowledged
 */
public record AgentLimits(
        int concurrency,
        int queue,
        int records,
        long keptBytes,
        int maxResponse,
        Duration maxDeadline,
        Duration maxClockAge,
        Duration retention,
        Duration abortGrace,
        Duration drainWait) {

    /** Default limits, with which an agent fits into 128 MiB. */
    public static final AgentLimits DEFAULT = new AgentLimits(
            32,
            64,
            20_000,
            64L << 20,
            1 << 20,
            Duration.ofMinutes(15),
            Duration.ofMinutes(1),
            Duration.ofMinutes(10),
            Duration.ofSeconds(30),
            Duration.ofSeconds(10));

    long maxDeadlineMicros() {
        return micros(maxDeadline);
    }

    long maxClockAgeMicros() {
        return micros(maxClockAge);
    }

    long retentionMicros() {
        return micros(retention);
    }

    long abortGraceMicros() {
        return micros(abortGrace);
    }

    private static long micros(Duration duration) {
        return duration.toNanos() / 1000;
    }
}
