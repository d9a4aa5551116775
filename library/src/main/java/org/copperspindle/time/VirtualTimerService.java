package org.copperspindle.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: stands still until it is advanced, runs due tasks in order of instant, then of subscription.
 * Single-threaded, so that the same schedule gives the same run.
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
     * Moves time forward and runs every task that falls due on the way.
     *
     * @param nanos how far to move
     */
    public void advance(long nanos) {
        long end = now + nanos;
        while (!entries.isEmpty() && entries.peek().at() <= end) {
            step();
        }
        now = end;
    }

    /**
     * Jumps to the next pending task and runs it.
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

    /** A pending task; identity equality is wanted, hence the unique sequence. */
    private record Entry(long at, long sequence, Runnable task) {}
}
