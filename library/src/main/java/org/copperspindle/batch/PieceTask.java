package org.copperspindle.batch;

/**
 * One piece of a group, as a unit of dispatch.
 *
 * @param group its group
 * @param piece its number
 */
record PieceTask(WaitingGroup group, int piece) {

    /** Returns whether the rest of its group, which was split to fill this call, still waits. */
    boolean isOfSplitGroup() {
        return group.isSplit() && !group.missing().isEmpty();
    }

    StageItem toItem(long now) {
        PieceGroup source = group.group();
        return new StageItem(
                source.requestId(),
                source.stage(),
                piece,
                group.remainingMillis(now),
                source.key(),
                StageResult.handles(source.inputs()));
    }
}
