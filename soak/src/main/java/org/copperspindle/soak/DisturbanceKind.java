package org.copperspindle.soak;

import java.util.List;

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
    REVOKE,
    /** SIGSTOP to the node that dispatches a stage pool, and SIGCONT at the end. */
    DISPATCHER_PAUSE,
    /** SIGKILL to the node that dispatches a stage pool, which starts again when the disturbance ends. */
    DISPATCHER_KILL,
    /** An engine sends nothing more on its streams, whose connections stay open, and goes on at the end. */
    ENGINE_SILENCE;

    /** Kinds of the general plan. Their order decides what a seed means. */
    static final List<DisturbanceKind> GENERAL = List.of(
            KILL,
            TERM,
            PAUSE,
            LOSE_DISK,
            DELAY,
            RESET,
            SILENCE,
            ONE_WAY,
            UPSTREAM_CRASH,
            UPSTREAM_DRAIN,
            CHANGE,
            REVOKE);

    boolean isOfDispatchers() {
        return this == DISPATCHER_PAUSE || this == DISPATCHER_KILL;
    }

    boolean isOfLinks() {
        return this == DELAY || this == RESET || this == SILENCE || this == ONE_WAY;
    }
}
