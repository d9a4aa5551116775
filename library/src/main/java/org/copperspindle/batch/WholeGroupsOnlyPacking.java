package org.copperspindle.batch;

import java.util.List;

import org.copperspindle.route.BatchLimits;

/**
 * Never splits a group that fits into a call: for groups of interrupted streams, whose callers would wait for the later
 * of two calls. A group larger than any call is taken in parts.
 */
final class WholeGroupsOnlyPacking implements CallPacking {

    @Override
    public List<PieceTask> pack(List<WaitingGroup> ordered, BatchLimits limits, CallBounds bounds) {
        CallDraft draft = new CallDraft(limits, bounds);
        for (WaitingGroup group : ordered) {
            if (draft.isFull()) {
                break;
            }
            int wanted = group.missing().size();
            int room = draft.room(group);
            boolean fits = wanted <= room || draft.isEmpty() && group.exceedsCall(limits);
            if (draft.accepts(group) && fits) {
                draft.add(group, Math.min(wanted, room));
            }
        }
        return draft.pieces();
    }
}
