package org.copperspindle.discovery;

/**
 * Effect of an announcement on a directory.
 */
public enum DirectoryChange {
    /** The announcement is stale, or belongs to an upstream that has left. */
    NONE,
    /** The announcement repeats the known state. */
    REFRESHED,
    /** An upstream was added, changed or removed. */
    CHANGED
}
