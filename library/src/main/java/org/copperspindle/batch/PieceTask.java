package org.copperspindle.batch;

/**
 * One piece of a group, as a unit of dispatch.
 *
 * @param group its group
 * @param piece its number
 */
record PieceTask(WaitingGroup group, int piece) {

    StageItem toItem(long now) {
        PieceGroup source = group.group();
        return new StageItem(
                source.requestId(), source.stage(), piece, group.remainingMillis(now), source.key(), source.inputs());
    }
}
