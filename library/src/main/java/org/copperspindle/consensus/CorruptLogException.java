package org.copperspindle.consensus;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown if the data on a member's disk is not what it synced there. The member must not start, since votes and entries
 * that it has acknowledged may be lost with the damaged bytes.
 */
public final class CorruptLogException extends IOException {

    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final long offset;

    /**
     * Creates the exception.
     *
     * @param file    the damaged file
     * @param offset  where the damage begins, in bytes
     * @param problem what is wrong
     */
    public CorruptLogException(Path file, long offset, String problem) {
        super(problem + " in " + file + " at byte " + offset);
        this.file = file;
        this.offset = offset;
    }

    /**
     * Returns the damaged file.
     *
     * @return its path
     */
    public Path file() {
        return file;
    }

    /**
     * Returns where the damage begins.
     *
     * @return offset in bytes
     */
    public long offset() {
        return offset;
    }
}
