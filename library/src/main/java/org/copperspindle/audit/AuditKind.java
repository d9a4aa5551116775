package org.copperspindle.audit;

import java.util.Locale;

/**
 * The kind of event that an audit record describes.
 */
public enum AuditKind {
    /** A configuration was accepted. */
    CHANGE,
    /** A configuration is in force at every serving member. */
    IN_FORCE,
    /** An upstream joined, changed what it serves, or left. */
    MEMBERSHIP,
    /** An order to an engine was issued, or has ended. */
    ORDER,
    /** The set of voters changed. */
    REPAIR;

    /**
     * Returns the label by which operators refer to this kind.
     *
     * @return the label, in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a kind by its label.
     *
     * @param label what {@link #label()} returns
     * @return the kind
     * @throws IllegalArgumentException if no kind has this label
     */
    public static AuditKind of(String label) {
        return valueOf(label.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
