package org.copperspindle.consensus;

/**
 * Kind of a log entry. The ordinal is stored, so constants may only be added at the end.
 */
enum EntryKind {
    /** No content; the first entry of a leader's term. */
    NO_OP,
    /** A command for the replicated state. */
    COMMAND,
    /** The members from this entry on. */
    MEMBERSHIP;

    private static final EntryKind[] VALUES = values();

    static EntryKind of(int number) {
        if (number < 0 || number >= VALUES.length) {
            throw new IllegalArgumentException("unknown kind of entry: " + number);
        }
        return VALUES[number];
    }
}
