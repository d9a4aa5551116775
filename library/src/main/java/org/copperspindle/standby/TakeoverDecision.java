package org.copperspindle.standby;

/**
 * What a standby does about one pool.
 */
sealed interface TakeoverDecision {

    /** Nothing changes. */
    record Keep() implements TakeoverDecision {}

    /**
     * The standby takes over.
     *
     * @param silentNanos time since the last heartbeat in nanoseconds
     */
    record TakeOver(long silentNanos) implements TakeoverDecision {}

    /** The takeover ends: the dispatcher works again, or this node may no longer replace it. */
    record Return() implements TakeoverDecision {}

    /** Membership designates other nodes or another process of the dispatcher; the heartbeats are of no use any more. */
    record Superseded() implements TakeoverDecision {}
}
