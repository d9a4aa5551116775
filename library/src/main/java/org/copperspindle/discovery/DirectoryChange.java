package org.copperspindle.discovery;

/**
 * What an announcement did to a directory.
 */
public enum DirectoryChange {
    /** It was late, or of an upstream that has left. */
    NONE,
    /** It says again what was known. */
    REFRESHED,
    /** An upstream came, changed, or left. */
    CHANGED
}
