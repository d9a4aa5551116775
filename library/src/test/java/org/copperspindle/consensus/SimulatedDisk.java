package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * A disk in memory that executes requests in order and with a delay. A crash keeps a random prefix of the pending
 * requests.
 */
final class SimulatedDisk {

    HardState hard;
    Optional<LogSnapshot> snapshot = Optional.empty();
    private final List<LogEntry> entries = new ArrayList<>();
    private final Deque<RaftAction.Persist> pending = new ArrayDeque<>();

    void begin(RaftAction.Persist persist) {
        pending.addLast(persist);
    }

    void finish(long sequence) {
        while (!pending.isEmpty() && pending.peekFirst().sequence() <= sequence) {
            execute(pending.pollFirst().request());
        }
    }

    void crash(SplittableRandom random) {
        for (int kept = random.nextInt(pending.size() + 1); kept > 0; kept--) {
            execute(pending.pollFirst().request());
        }
        pending.clear();
    }

    /** Returns the last index that a restart would find. */
    long lastIndex() {
        long covered = snapshot.map(LogSnapshot::index).orElse(0L);
        return entries.isEmpty()
                ? covered
                : Math.max(covered, entries.get(entries.size() - 1).index());
    }

    RecoveredState recover() {
        if (hard.group() == 0) {
            snapshot = Optional.empty();
            entries.clear();
        }
        long after = snapshot.map(LogSnapshot::index).orElse(0L);
        return new RecoveredState(
                hard, snapshot, entries.stream().filter(e -> e.index() > after).toList());
    }

    private void execute(PersistRequest request) {
        if (request instanceof PersistRequest.SaveHardState save) {
            hard = save.state();
        } else if (request instanceof PersistRequest.AppendEntries append) {
            long first = append.entries().get(0).index();
            entries.removeIf(e -> e.index() >= first);
            entries.addAll(append.entries());
        } else if (request instanceof PersistRequest.SaveSnapshot save) {
            snapshot = Optional.of(save.snapshot());
            entries.removeIf(e -> save.reset() || e.index() <= save.snapshot().index());
        }
    }
}
