package org.copperspindle.memory;

/**
 * A holder as the admission of requests sees it.
 *
 * @param holder       the holder
 * @param bytes        bytes of the request
 * @param arriving     true until the request is passed on to be handled
 * @param stalledNanos time since its last bytes arrived, in nanoseconds
 */
record HeldRequest(MemoryHolder holder, long bytes, boolean arriving, long stalledNanos) {

    /** Returns whether the request counts as large. */
    boolean isLarge() {
        return bytes > HeldMemory.LARGE_REQUEST_BYTES;
    }
}
