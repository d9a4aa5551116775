package org.copperspindle.config;

/**
 * Urgency of a request; smaller ordinals are served first.
 */
public enum Priority {
    /** A user is waiting in a live setting, for example a class in front of the lesson viewer. */
    INTERACTIVE,
    /** A user is waiting, but not in a live setting. */
    STANDARD,
    /** No user is waiting; shed first under overload. */
    BATCH
}
