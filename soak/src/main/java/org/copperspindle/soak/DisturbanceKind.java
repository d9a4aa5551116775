package org.copperspindle.soak;

/**
 * What is done to a deployment from outside.
 */
enum DisturbanceKind {
    /** SIGKILL to a node, which starts again when the disturbance ends. */
    KILL,
    /** SIGTERM to a node, which starts again when it has ended and the disturbance has. */
    TERM,
    /** SIGSTOP to a node, and SIGCONT at the end. */
    PAUSE,
    /** SIGKILL to a node with a data folder, which comes back with an empty one. */
    LOSE_DISK,
    /** Bytes from other nodes reach a node late. */
    DELAY,
    /** Connections from other nodes to a node are reset, once. */
    RESET,
    /** No byte passes between other nodes and a node on connections that they opened; nothing is closed. */
    SILENCE,
    /** Bytes from other nodes don't reach a node; its answers do. */
    ONE_WAY,
    /** An upstream closes its connections and is gone; another one starts in its place at the end. */
    UPSTREAM_CRASH,
    /** An upstream says that it drains, serves on for a while and leaves; another one starts in its place. */
    UPSTREAM_DRAIN,
    /** The operator sends a new version. */
    CHANGE,
    /** The operator takes a key away with a new version. */
    REVOKE;

    boolean isOfLinks() {
        return this == DELAY || this == RESET || this == SILENCE || this == ONE_WAY;
    }
}
