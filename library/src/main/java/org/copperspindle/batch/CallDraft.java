package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * A call to which groups are added one after the other, with the room that is left in it.
 */
final class CallDraft {

    private final List<PieceTask> pieces = new ArrayList<>();
    private final BatchLimits limits;
    private final CallBounds bounds;
    private long freeBytes;

    CallDraft(BatchLimits limits, CallBounds bounds) {
        this.limits = limits;
        this.bounds = bounds;
        this.freeBytes = bounds.bytes();
    }

    /** Returns the pieces added so far. */
    List<PieceTask> pieces() {
        return pieces;
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    /** Returns whether the call has reached its bound of pieces. */
    boolean isFull() {
        return pieces.size() >= Math.min(bounds.pieces(), limits.maxPieces());
    }

    /** Returns whether the partition of the group may share the call. */
    boolean accepts(WaitingGroup group) {
        return pieces.isEmpty() || group.sharesCallsWith(pieces.get(0).group());
    }

    /** Returns how many pieces of a group fit into the call and into the memory of the upstream. */
    int room(WaitingGroup group) {
        return Math.min(
                limits.maxPieces() - pieces.size(),
                fitting(freeBytes, group.group().resultBytes()));
    }

    /** Adds the first missing pieces of a group. */
    void add(WaitingGroup group, int count) {
        group.missing().subList(0, count).forEach(piece -> pieces.add(new PieceTask(group, piece)));
        freeBytes -= count * group.group().resultBytes();
    }

    private static int fitting(long bytes, long each) {
        return each <= 0 ? Integer.MAX_VALUE : (int) Math.min(Integer.MAX_VALUE, Math.max(0, bytes) / each);
    }
}
