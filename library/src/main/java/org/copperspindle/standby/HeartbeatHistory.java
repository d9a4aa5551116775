package org.copperspindle.standby;

/**
 * The heartbeats that a standby has received from the dispatcher of one pool.
 *
 * @param dispatcher  name of the dispatcher
 * @param incarnation incarnation of the dispatcher's process
 * @param count       number of heartbeats
 * @param steadySince time of the first heartbeat after the last gap, monotonic time in nanoseconds
 * @param lastAt      time of the last heartbeat, monotonic time in nanoseconds
 */
record HeartbeatHistory(String dispatcher, long incarnation, int count, long steadySince, long lastAt) {

    /** Returns the history after the first heartbeat. */
    static HeartbeatHistory first(String dispatcher, long incarnation, long now) {
        return new HeartbeatHistory(dispatcher, incarnation, 1, now, now);
    }

    /** Returns the history after another heartbeat of the same process. */
    HeartbeatHistory next(long now) {
        long since = isSilent(now) ? now : steadySince;
        return new HeartbeatHistory(dispatcher, incarnation, count + 1, since, now);
    }

    /** Returns the history after a stall of this node: the heartbeats before it say nothing about the dispatcher. */
    HeartbeatHistory restarted(long now) {
        return new HeartbeatHistory(dispatcher, incarnation, 0, now, now);
    }

    boolean isOf(String node, long nodeIncarnation) {
        return dispatcher.equals(node) && incarnation == nodeIncarnation;
    }

    boolean isSilent(long now) {
        return silentNanos(now) >= TakeoverPolicy.SILENCE_NANOS;
    }

    long silentNanos(long now) {
        return now - lastAt;
    }

    /** Returns for how long heartbeats have arrived without a gap, up to the last one. */
    long steadyNanos() {
        return lastAt - steadySince;
    }
}
