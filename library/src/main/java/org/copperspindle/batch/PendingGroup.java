package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A submitted group that still lacks results.
 */
final class PendingGroup {

    private final PieceGroup group;
    private final PieceListener listener;
    private final long submittedAt;
    private final List<Integer> missing;
    private final Set<String> formerOwners = new HashSet<>();
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

    /** Sets the node that dispatches the group instead of a lost one, whose results are not accepted any more. */
    void owner(String node) {
        owner = node;
    }

    /** Records that another node takes over the group while the present one may still have results of it. */
    void recordMove() {
        formerOwners.add(owner);
    }

    /** Returns whether the group was at a node that may still have results of it. */
    boolean wasAt(String node) {
        return formerOwners.contains(node);
    }

    /** Returns whether the group was moved from a node that may still have results of it. */
    boolean wasMoved() {
        return !formerOwners.isEmpty();
    }
}
