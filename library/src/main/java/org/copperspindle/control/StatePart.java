package org.copperspindle.control;

import java.util.List;

import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * The part of the {@link ControlState} that one feature package owns, with its own commands and its own place in
 * snapshots. It is deterministic: results and snapshots must not depend on clocks, random numbers or the order of a
 * hash table.
 */
public interface StatePart {

    /**
     * Returns the name of this part in snapshots.
     *
     * @return a name that is never reused for another format
     */
    String name();

    /**
     * Returns the commands that this part applies.
     *
     * @return their codecs
     */
    List<MessageCodec<?>> commands();

    /**
     * Applies a committed command.
     *
     * @param index   index of its record in the log
     * @param command one of {@link #commands}
     * @return result for the proposer
     * @throws MalformedFrameException if a message inside the command can't be read
     */
    ControlResult apply(long index, WireMessage command) throws MalformedFrameException;

    /**
     * Takes a snapshot.
     *
     * @return bytes that {@link #restore} accepts; equal states give equal bytes
     */
    byte[] snapshot();

    /** Clears this part, as before the first command. */
    void clear();

    /**
     * Replaces the state of this part.
     *
     * @param snapshot result of {@link #snapshot}, of this build or an older one
     * @throws MalformedFrameException if it can't be read
     */
    void restore(byte[] snapshot) throws MalformedFrameException;
}
