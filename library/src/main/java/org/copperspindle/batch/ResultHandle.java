package org.copperspindle.batch;

import java.util.Optional;

/**
 * Handles of stage results. A handle identifies a result at its producer and starts with the producer's address; the
 * rest is opaque.
 */
public final class ResultHandle {

    private static final char SEPARATOR = '/';

    private ResultHandle() {}

    /**
     * Returns the address of the producer of a result.
     *
     * @param handle the handle
     * @return IP:PORT of the producer, empty if the handle has none
     */
    public static Optional<String> producerAddress(String handle) {
        int end = handle.indexOf(SEPARATOR);
        return end < 0 ? Optional.empty() : Optional.of(handle.substring(0, end));
    }
}
