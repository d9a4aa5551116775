package org.copperspindle.batch;

import java.util.List;

/**
 * Parts the groups of a call that was lost with its connection: in two, and after the next loss each from all others. One of
 * their pieces may end each upstream that makes it. Packed together again, all of them would be lost so often that they
 * fail, and more that came later; in two calls, the other half is made at once.
 */
final class CallParting {

    private long lots;

    /** Gives the groups of a lost call the numbers of lots that share no calls. */
    void part(List<PieceTask> lost) {
        List<WaitingGroup> groups =
                lost.stream().map(PieceTask::group).distinct().toList();
        boolean again = groups.stream().anyMatch(WaitingGroup::isParted);
        long first = lots + 1;
        int parts = again ? groups.size() : 2;
        lots += parts;
        for (int i = 0; i < groups.size(); i++) {
            groups.get(i).part(first + i % parts);
        }
    }
}
