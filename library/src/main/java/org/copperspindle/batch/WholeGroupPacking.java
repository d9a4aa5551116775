package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * Keeps groups whole where that costs little. While there are enough pieces for a full call, a group that does not fit
 * as a whole is split if the memory for results allows: the rest goes into the next call, which would otherwise have
 * carried all of it, and the extra places are free; whole groups would leave places empty while pieces wait. With
 * fewer pieces a group is kept whole, since its request would have to wait for the later of two calls.
 */
final class WholeGroupPacking implements CallPacking {

    /** Number of full calls whose results must fit in the memory of an upstream for a group to be split. */
    private static final int MIN_CALLS_IN_MEMORY_TO_SPLIT = 2;

    @Override
    public List<PieceTask> pack(List<WaitingGroup> ordered, BatchLimits limits, CallBounds bounds) {
        boolean fullCallWaits = bounds.pieces() >= limits.maxPieces();
        CallDraft draft = new CallDraft(limits, bounds);
        for (WaitingGroup group : ordered) {
            if (draft.isFull()) {
                break;
            }
            int wanted = group.missing().size();
            int room = draft.room(group);
            // The first group of a call is always taken: it may be larger than a call.
            boolean waitsWhole =
                    wanted > room && !draft.isEmpty() && !(fullCallWaits && hasMemoryToSplit(group, limits));
            if (!draft.accepts(group) || room <= 0 || waitsWhole) {
                continue;
            }
            draft.add(group, Math.min(wanted, room));
        }
        return draft.pieces();
    }

    /**
     * Returns whether the pool has the memory to split a group between two calls. Its first results occupy the memory
     * of their producer until the rest is complete: split groups with large results would fill the memory of two
     * producers, and calls would go out nearly empty while many pieces wait.
     */
    static boolean hasMemoryToSplit(WaitingGroup group, BatchLimits limits) {
        return limits.maxPieces() * group.group().resultBytes() * MIN_CALLS_IN_MEMORY_TO_SPLIT <= limits.resultBytes();
    }
}
