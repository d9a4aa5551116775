package org.copperspindle.agent;

import java.time.Duration;

/**
 * What one agent allows and keeps.
 *
 * @param concurrency  attempts that run at once until a configuration names the pool's own number
 * @param queue        attempts that wait at most
 * @param records      attempts that are remembered at most
 * @param keptBytes    bytes of kept answers at most, counting room for unrepeatable attempts in progress
 * @param maxResponse  bytes of one answer at most; below the largest frame of the wire
 * @param maxDeadline  time left of an order at most; not below the longest deadline of the deployment
 * @param maxClockAge  age of the clock reading of an order at most
 * @param keep         how long outcomes of unrepeatable attempts are kept after their end
 * @param linger       how long an unrepeatable attempt is listened to after its deadline
 * @param drainWait    how long a stopping agent waits for its outcomes to be acknowledged
 */
public record AgentLimits(
        int concurrency,
        int queue,
        int records,
        long keptBytes,
        int maxResponse,
        Duration maxDeadline,
        Duration maxClockAge,
        Duration keep,
        Duration linger,
        Duration drainWait) {

    /** Limits that fit an agent into 128 MiB. */
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

    long keepMicros() {
        return micros(keep);
    }

    long lingerMicros() {
        return micros(linger);
    }

    private static long micros(Duration duration) {
        return duration.toNanos() / 1000;
    }
}
