package org.copperspindle.control;

import java.util.List;

import org.copperspindle.wire.MalformedFrameException;
import org.copperspindle.wire.MessageCodec;
import org.copperspindle.wire.WireMessage;

/**
 * One slice's share of the {@link ControlState}: it takes its own commands and keeps its own place in snapshots.
 * Deterministic: neither clocks nor random numbers nor the order of a hash table may show in results or snapshots.
 */
public interface StatePart {

    /**
     * Returns the name of this part in snapshots.
     *
     * @return a name that is never reused for another format
     */
    String name();

    /**
     * Returns the commands that this part takes.
     *
     * @return their codecs
     */
    List<MessageCodec<?>> commands();

    /**
     * Applies a committed command.
     *
     * @param index   index of its record in the log
     * @param command one of {@link #commands}
     * @return what the proposer is told
     * @throws MalformedFrameException if a message inside the command can't be read
     */
    ControlResult apply(long index, WireMessage command) throws MalformedFrameException;

    /**
     * Takes a snapshot.
     *
     * @return bytes that {@link #restore} takes; equal states give equal bytes
     */
    byte[] snapshot();

    /** Empties this part, as before the first command. */
    void clear();

    /**
     * Replaces this part.
     *
     * @param snapshot what {@link #snapshot} made, here or in an older build
     * @throws MalformedFrameException if it can't be read
     */
    void restore(byte[] snapshot) throws MalformedFrameException;
}
