package org.copperspindle.direct;

import java.util.concurrent.atomic.AtomicLongArray;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Counts and logs connections that are closed because their upstream sent more than it may, or more than this node has room
 * for. Thread-safe.
 */
public final class ExceededBounds {

    private static final Logger LOGGER = LogManager.getLogger(ExceededBounds.class);

    private final AtomicLongArray counts = new AtomicLongArray(ResponseBound.values().length);

    /**
     * Returns how many connections were closed.
     *
     * @param bound what was exceeded
     * @return a count
     */
    public long count(ResponseBound bound) {
        return counts.get(bound.ordinal());
    }

    /** Records a connection that is closed because of its call. */
    void record(ResponseBound bound, long limit, DirectCall call) {
        counts.incrementAndGet(bound.ordinal());
        LOGGER.warn(
                "event=upstream-bound-exceeded upstream={} address={} request={} bound={} limit={}",
                call.upstream(),
                call.address(),
                call.requestId(),
                bound.label(),
                limit);
    }

    /** Records a connection that is closed because memory of this node is short. */
    void recordMemoryShort(ResponseBound bound, long budget, DirectCall call) {
        counts.incrementAndGet(bound.ordinal());
        LOGGER.warn(
                "event=response-broken-off upstream={} address={} request={} bound={} reason=memory-short budget={}",
                call.upstream(),
                call.address(),
                call.requestId(),
                bound.label(),
                budget);
    }

    /** Records a connection that is closed because of bytes that belong to no call. */
    void recordStray(String upstream, String address, long bytes) {
        counts.incrementAndGet(ResponseBound.STRAY_BYTES.ordinal());
        LOGGER.warn(
                "event=upstream-bound-exceeded upstream={} address={} request= bound={} limit=0 bytes={}",
                upstream,
                address,
                ResponseBound.STRAY_BYTES.label(),
                bytes);
    }
}
