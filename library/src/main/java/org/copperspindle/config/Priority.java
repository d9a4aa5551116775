package org.copperspindle.config;

/**
 * How urgent a request is; a smaller ordinal is served first.
 */
public enum Priority {
    /** A person waits, for example a class in front of the lesson viewer. */
    INTERACTIVE,
    /** A person waits, but not in front of others. */
    STANDARD,
    /** Nobody waits; shed first under overload. */
    BATCH
}
