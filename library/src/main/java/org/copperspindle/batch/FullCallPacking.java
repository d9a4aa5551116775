package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * Fills calls to the limit of pieces, or to the free memory at the upstream, by splitting the last group: for pools
 * that are short of capacity while more pieces wait than the free upstreams take in full calls. The throughput of a
 * pool is highest with full calls, since a large part of a call's duration does not depend on its pieces.
 *
 * <p>The rest of a split group is ordered first in the next call, so that its first results hold memory only for the
 * short interval until another upstream is free. A group is split at most once, and no further group is split while
 * a rest waits; otherwise many groups would be partly made at once and fill the memory of their producers. Groups of
 * interrupted streams are not split, since their request would wait for the later call.
 */
final class FullCallPacking implements CallPacking {

    /**
     * Minimum number of results in the memory of an upstream for a group to be split. The few results of a partly made
     * group then take a small part of the memory; of a memory for twelve results, they would take the half.
     */
    private static final int MIN_RESULTS_IN_MEMORY_TO_SPLIT = 30;

    @Override
    public List<PieceTask> pack(List<WaitingGroup> ordered, BatchLimits limits, CallBounds bounds) {
        boolean maySplit = true;
        CallDraft draft = new CallDraft(limits, bounds);
        for (WaitingGroup group : ordered) {
            if (draft.isFull()) {
                break;
            }
            int wanted = group.missing().size();
            int room = draft.room(group);
            boolean accepted = draft.accepts(group) && room > 0;
            if (accepted && wanted <= room) {
                draft.add(group, wanted);
                continue;
            }
            boolean splits = splitsWithoutRest(group, limits) || maySplit && maySplit(group, wanted - room, limits);
            if (accepted && (splits || draft.isEmpty() && group.exceedsCall(limits))) {
                draft.add(group, room);
                maySplit = false;
            }
            maySplit &= !group.isSplit();
        }
        return draft.pieces();
    }

    @Override
    public boolean ordersRestsFirst() {
        return true;
    }

    /** Returns whether a group is split as in whole-group packing, where its rest has no precedence. */
    private static boolean splitsWithoutRest(WaitingGroup group, BatchLimits limits) {
        return !group.group().resumed() && WholeGroupPacking.hasMemoryToSplit(group, limits);
    }

    private static boolean maySplit(WaitingGroup group, int rest, BatchLimits limits) {
        return !group.isSplit() && isDivisible(group, limits) && rest <= limits.maxPieces();
    }

    /** Returns whether the pieces of a group may go into two calls, as far as its kind and its results are concerned. */
    static boolean isDivisible(WaitingGroup group, BatchLimits limits) {
        boolean hasSmallResults = group.group().resultBytes() * MIN_RESULTS_IN_MEMORY_TO_SPLIT <= limits.resultBytes();
        return !group.group().resumed() && (hasSmallResults || WholeGroupPacking.hasMemoryToSplit(group, limits));
    }
}
