package org.copperspindle.gateway;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

import org.copperspindle.time.TimerSubscription;

/**
 * Gives up an attempt whose engine has stopped sending in the middle of a stream without closing its connection, as a
 * suspended or partitioned engine does. Otherwise the stream would wait until the deadline of its request. An attempt
 * that can't be followed by another one is never given up.
 */
final class SilenceWatch {

    /**
     * A check that is later than this shows that this node was suspended, and data of the engine may be unread. A
     * process on a small VM is suspended for up to 100 ms by its processor quota.
     */
    private static final long MAX_LATENESS_NANOS = Duration.ofMillis(100).toNanos();

    private static final String REASON = "engine-silent";

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final BooleanSupplier canMoveElsewhere;
    private TimerSubscription check = () -> {};

    /**
     * Creates a watch.
     *
     * @param context          the shared components
     * @param admitted         the request
     * @param canMoveElsewhere returns whether another upstream could take the stream now
     */
    SilenceWatch(GatewayContext context, AdmittedRequest admitted, BooleanSupplier canMoveElsewhere) {
        this.context = context;
        this.admitted = admitted;
        this.canMoveElsewhere = canMoveElsewhere;
    }

    /** Watches an attempt, and no longer the one before. Does nothing for routes that are not resumed by a plan. */
    void watch(UpstreamAttempt attempt) {
        cancel();
        limitNanos(attempt).ifPresent(limit -> schedule(attempt, limit));
    }

    /** Ends the watch. */
    void cancel() {
        check.cancel();
    }

    private OptionalLong limitNanos(UpstreamAttempt attempt) {
        return attempt.hasRelayed()
                ? context.resumptions().maxSilenceNanos(admitted)
                : context.resumptions().maxFirstEventNanos(admitted);
    }

    private void schedule(UpstreamAttempt attempt, long nanos) {
        long dueAt = context.timers().nanoTime() + nanos;
        check = context.timers().schedule(nanos, () -> check(attempt, dueAt));
    }

    private void check(UpstreamAttempt attempt, long dueAt) {
        if (!attempt.hasEnded()) {
            limitNanos(attempt).ifPresent(limit -> check(attempt, dueAt, limit));
        }
    }

    private void check(UpstreamAttempt attempt, long dueAt, long limit) {
        long now = context.timers().nanoTime();
        if (now - dueAt > MAX_LATENESS_NANOS) {
            schedule(attempt, limit);
            return;
        }
        long left = limit - attempt.silentNanos(now);
        if (left > 0) {
            schedule(attempt, left);
        } else if (canMoveElsewhere.getAsBoolean()) {
            attempt.giveUp(REASON);
        } else {
            schedule(attempt, limit);
        }
    }
}
