package org.copperspindle.replay;

import java.io.IOException;

/**
 * Thrown when a trace can't be read; the message names file and line.
 */
public final class TraceException extends IOException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param file    trace file as the operator named it
     * @param line    line number, from 1
     * @param problem what is wrong
     */
    public TraceException(String file, int line, String problem) {
        super(file + ":" + line + ": " + problem);
    }
}
