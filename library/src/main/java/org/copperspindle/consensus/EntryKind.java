package org.copperspindle.consensus;

/**
 * What a log entry carries. The ordinal is stored: add at the end only.
 */
enum EntryKind {
    /** Nothing; opens a leader's term. */
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
