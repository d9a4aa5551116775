package org.copperspindle.audit;

import java.util.Locale;

/**
 * What an audit record is about.
 */
public enum AuditKind {
    /** A configuration was accepted. */
    CHANGE,
    /** A configuration is in force at every serving member. */
    IN_FORCE,
    /** An upstream joined, changed what it serves, or went. */
    MEMBERSHIP,
    /** An order to an engine was given, or ended. */
    ORDER,
    /** The set of voters changed. */
    REPAIR;

    /**
     * Returns the word that operators write.
     *
     * @return lower case, with hyphens
     */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a kind by its word.
     *
     * @param word what {@link #word()} returns
     * @return the kind
     * @throws IllegalArgumentException if there is none of this word
     */
    public static AuditKind of(String word) {
        return valueOf(word.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
