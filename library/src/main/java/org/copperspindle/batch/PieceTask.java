package org.copperspindle.batch;

/**
 * One piece of a waiting group.
 *
 * @param group its group
 * @param piece its number
 */
record PieceTask(WaitingGroup group, int piece) {

    StageItem item(long now) {
        PieceGroup of = group.group();
        return new StageItem(of.requestId(), of.stage(), piece, group.remainingMillis(now), of.key(), of.inputs());
    }
}
