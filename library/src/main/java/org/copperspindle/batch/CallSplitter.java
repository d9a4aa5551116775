package org.copperspindle.batch;

import java.util.List;

/**
 * Splits the groups of a call that was lost with its connection: into two halves, and after the next loss each group
 * apart from all others. One of their pieces may crash every upstream that runs it. Batched together again, all of
 * them would be lost so often that they fail, and so would groups that came later; split in two calls, the unaffected
 * half completes at once.
 */
final class CallSplitter {

    private long lastPartition;

    /** Assigns the groups of a lost call to partitions; groups of different partitions share no calls. */
    void split(List<PieceTask> lost) {
        List<WaitingGroup> groups =
                lost.stream().map(PieceTask::group).distinct().toList();
        boolean splitBefore = groups.stream().anyMatch(WaitingGroup::isPartitioned);
        long first = lastPartition + 1;
        int parts = splitBefore ? groups.size() : 2;
        lastPartition += parts;
        for (int i = 0; i < groups.size(); i++) {
            groups.get(i).assignPartition(first + i % parts);
        }
    }
}
