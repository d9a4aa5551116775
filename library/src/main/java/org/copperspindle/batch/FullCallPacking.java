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
     * Maximum size of one result of a group that is split. Results of 800 KB, eight of which make a full call, would
     * fill two producers; a memory for 40 results or more has room for the few of a partly made group.
     */
    private static final long MAX_SPLIT_RESULT_BYTES = 250_000L;

    @Override
    public List<PieceTask> pack(List<WaitingGroup> ordered, BatchLimits limits, CallBounds bounds) {
        boolean maySplit = true;
        CallDraft draft = new CallDraft(limits, bounds);
        for (WaitingGroup group : ordered) {
            int wanted = group.missing().size();
            int room = draft.room(group);
            boolean accepted = draft.accepts(group) && room > 0;
            if (accepted && wanted <= room) {
                draft.add(group, wanted);
                continue;
            }
            boolean splits = maySplit && maySplit(group, wanted - room, limits);
            if (accepted && (splits || draft.isEmpty() && group.exceedsCall(limits))) {
                draft.add(group, room);
                maySplit = false;
            }
            maySplit &= !group.isSplit();
        }
        return draft.pieces();
    }

    private static boolean maySplit(WaitingGroup group, int rest, BatchLimits limits) {
        if (group.isSplit() || group.group().resumed() || rest > limits.maxPieces()) {
            return false;
        }
        return group.group().resultBytes() <= MAX_SPLIT_RESULT_BYTES
                || WholeGroupPacking.hasMemoryToSplit(group, limits);
    }
}
