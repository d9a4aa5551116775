package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

/**
 * A submitted group that still lacks results.
 */
final class PendingGroup {

    private final PieceGroup group;
    private final PieceListener listener;
    private final long submittedAt;
    private final List<Integer> missing;
    private String owner = "";

    PendingGroup(PieceGroup group, PieceListener listener, long submittedAt) {
        this.group = group;
        this.listener = listener;
        this.submittedAt = submittedAt;
        this.missing = new ArrayList<>(group.missing());
    }

    PieceGroup group() {
        return group;
    }

    PieceListener listener() {
        return listener;
    }

    /** Returns when the group was submitted, monotonic time in nanoseconds. */
    long submittedAt() {
        return submittedAt;
    }

    /** Returns the numbers of the pieces without a result, for modification. */
    List<Integer> missing() {
        return missing;
    }

    /** Returns the node that dispatches the group; empty before it is sent. */
    String owner() {
        return owner;
    }

    void owner(String node) {
        owner = node;
    }
}
