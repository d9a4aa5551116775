package org.copperspindle.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The log in memory: the newest snapshot and the entries after it, with a few before it for members that lag.
 */
final class RaftLog {

    private final List<LogEntry> entries = new ArrayList<>();
    private final Deque<Change> memberships = new ArrayDeque<>();
    private Optional<LogSnapshot> snapshot = Optional.empty();
    private long baseIndex;
    private long baseTerm;

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.get(entries.size() - 1).term();
    }

    /** Returns the index before the oldest entry in memory. */
    long baseIndex() {
        return baseIndex;
    }

    Optional<LogSnapshot> snapshot() {
        return snapshot;
    }

    Optional<LogEntry> entry(long index) {
        return index <= baseIndex || index > lastIndex()
                ? Optional.empty()
                : Optional.of(entries.get((int) (index - baseIndex - 1)));
    }

    /** Returns the term of an entry, or -1 if the entry is not in memory. */
    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return entry(index).map(LogEntry::term).orElse(-1L);
    }

    /** Returns the members of the newest membership entry, committed or not. */
    Membership membership() {
        return memberships.isEmpty() ? Membership.EMPTY : memberships.peekLast().membership();
    }

    /** Returns the index of the entry that {@link #membership} comes from. */
    long membershipIndex() {
        return memberships.isEmpty() ? 0 : memberships.peekLast().index();
    }

    Membership membershipAt(long index) {
        Membership found = Membership.EMPTY;
        for (Change change : memberships) {
            if (change.index() <= index) {
                found = change.membership();
            }
        }
        return found;
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("gap in the log: " + entry.index() + " after " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            memberships.addLast(new Change(entry.index(), Membership.decode(entry.body())));
        }
    }

    /** Returns consecutive entries from an index on, up to a number of bytes; at least one if it is in memory. */
    List<LogEntry> from(long index, int maxBytes) {
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            LogEntry entry = entry(i).orElseThrow();
            bytes += entry.size();
            if (!batch.isEmpty() && bytes > maxBytes) {
                break;
            }
            batch.add(entry);
        }
        return batch;
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
        while (!memberships.isEmpty() && memberships.peekLast().index() >= index) {
            memberships.removeLast();
        }
    }

    /** Restarts the log from a snapshot. */
    void reset(LogSnapshot from) {
        entries.clear();
        memberships.clear();
        snapshot = Optional.of(from);
        baseIndex = from.index();
        baseTerm = from.term();
        memberships.addLast(new Change(from.index(), from.membership()));
    }

    /** Sets a snapshot of the member's own state and drops entries far before it. */
    void compact(LogSnapshot taken, int kept) {
        snapshot = Optional.of(taken);
        long newBase = Math.max(baseIndex, taken.index() - kept);
        Membership there = membershipAt(newBase);
        long newTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - baseIndex)).clear();
        baseIndex = newBase;
        baseTerm = newTerm;
        memberships.removeIf(change -> change.index() <= newBase);
        memberships.addFirst(new Change(newBase, there));
    }

    private record Change(long index, Membership membership) {}
}
