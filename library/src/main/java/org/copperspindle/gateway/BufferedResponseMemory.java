package org.copperspindle.gateway;

import org.copperspindle.memory.HeldKind;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.memory.MemoryHolder;

/**
 * Memory of the part of one response that can't be passed on yet. It is reserved before it is held. Used on the network
 * thread only.
 */
final class BufferedResponseMemory {

    /** Largest response, or largest single event, that is buffered, in bytes. */
    static final int MAX_BYTES = 8 << 20;

    private final HeldMemory memory;
    private final MemoryHolder holder;
    private long held;
    private boolean exceeded;

    BufferedResponseMemory(HeldMemory memory, MemoryHolder holder) {
        this.memory = memory;
        this.holder = holder;
    }

    /**
     * Sets how many bytes are held. Other responses may be broken off for them before this returns.
     *
     * @return false if they may not be held: they are too many, or this response itself was broken off
     */
    boolean resize(long bytes) {
        if (bytes > MAX_BYTES) {
            exceeded = true;
            return false;
        }
        long added = bytes - held;
        held = bytes;
        if (added > 0) {
            memory.reserve(holder, HeldKind.BUFFERED_RESPONSE, added);
            return !holder.isClosed();
        }
        if (added < 0) {
            memory.release(holder, HeldKind.BUFFERED_RESPONSE, -added);
        }
        return true;
    }

    /** Returns whether more bytes were to be held than one response may have. */
    boolean isExceeded() {
        return exceeded;
    }
}
