package org.copperspindle.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Timer service in virtual time, which passes only when advanced. Due tasks run in order of time, then of
 * scheduling. Single-threaded, so that runs are deterministic.
 */
public final class VirtualTimerService implements TimerService {

    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::at).thenComparingLong(Entry::sequence));
    private long now;
    private long sequence;

    @Override
    public long nanoTime() {
        return now;
    }

    @Override
    public TimerSubscription schedule(long delayNanos, Runnable task) {
        Entry entry = new Entry(now + Math.max(0, delayNanos), sequence++, task);
        entries.add(entry);
        return () -> entries.remove(entry);
    }

    /**
     * Advances the time and runs every task that becomes due.
     *
     * @param nanos nanoseconds to advance
     */
    public void advance(long nanos) {
        long end = now + nanos;
        while (!entries.isEmpty() && entries.peek().at() <= end) {
            step();
        }
        now = end;
    }

    /**
     * Advances to the next pending task and runs it.
     *
     * @return false if nothing is pending
     */
    public boolean step() {
        Entry entry = entries.poll();
        if (entry == null) {
            return false;
        }
        now = Math.max(now, entry.at());
        entry.task().run();
        return true;
    }

    /** A pending task. The unique sequence number keeps entries distinct under the record's equality. */
    private record Entry(long at, long sequence, Runnable task) {}
}
