package org.copperspindle.batch;

import java.util.Optional;

/**
 * Handles of stage results. A handle names the result at its maker and begins with the maker's address; the rest is the
 * maker's own.
 */
public final class ResultHandle {

    private static final char SEPARATOR = '/';

    private ResultHandle() {}

    /**
     * Returns where a result was made.
     *
     * @param handle the handle
     * @return IP:PORT of its maker, empty if the handle names none
     */
    public static Optional<String> producerAddress(String handle) {
        int end = handle.indexOf(SEPARATOR);
        return end < 0 ? Optional.empty() : Optional.of(handle.substring(0, end));
    }
}
