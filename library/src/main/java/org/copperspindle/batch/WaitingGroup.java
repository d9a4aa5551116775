package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * A group at the node that packs the calls.
 */
final class WaitingGroup {

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final String origin;
    private final PieceGroup group;
    private final long arrivedAt;
    private final long slackUntil;
    private final long deadline;
    private final List<Integer> missing;
    private int losses;
    private boolean cancelled;

    WaitingGroup(String origin, PieceGroup group, long now) {
        this.origin = origin;
        this.group = group;
        this.arrivedAt = now;
        this.slackUntil = now + group.slackMillis() * NANOS_PER_MILLI;
        this.deadline = now + group.deadlineMillis() * NANOS_PER_MILLI;
        this.missing = new ArrayList<>(group.missing());
    }

    String origin() {
        return origin;
    }

    PieceGroup group() {
        return group;
    }

    List<Integer> missing() {
        return missing;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    long slackUntil() {
        return slackUntil;
    }

    /** Says whether the pieces can be made soon enough for the request's objective, if they take so long from now. */
    boolean isOnTime(long now, long nanos) {
        return now + nanos - slackUntil <= 0;
    }

    boolean isOver(long now) {
        return now - deadline >= 0;
    }

    long remainingMillis(long now) {
        return Math.max(1, (deadline - now) / NANOS_PER_MILLI);
    }

    void cancel() {
        cancelled = true;
    }

    boolean isCancelled() {
        return cancelled;
    }

    /** Counts a loss and returns how many there were. */
    int lost() {
        return ++losses;
    }
}
