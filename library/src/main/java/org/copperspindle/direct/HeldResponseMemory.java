package org.copperspindle.direct;

import io.netty.buffer.ByteBuf;
import org.copperspindle.memory.HeldKind;
import org.copperspindle.memory.HeldMemory;
import org.copperspindle.memory.MemoryHolder;

/**
 * Memory that the fields of one response take once they are decoded, and its body if its reader counts nothing itself. Many
 * short fields take far more than their bytes. Used on the network thread only.
 */
final class HeldResponseMemory {

    /** Objects for one line: its entry, name and value as decoded, and as passed on to a caller. */
    private static final int LINE_BYTES = 256;

    /** Copies of each byte: name and value as decoded, their text, and the text that is passed on. */
    private static final int COPIES = 3;

    /** Copies of each byte of a body: the buffer of its reader, up to twice as long as the body, and what is read of it. */
    private static final int BODY_COPIES = 3;

    /**
     * What a response to a call of the node's own may hold uncounted, in bytes: a head of usual size. The sum is bounded by
     * the calls in progress.
     */
    private static final int USUAL_BYTES = 8 << 10;

    private static final byte LINE_FEED = '\n';

    private final HeldMemory memory;
    private final MemoryHolder holder;
    private final boolean shared;
    private final int uncounted;
    private long head;
    private long trailers;
    private long held;
    private long reserved;
    private boolean body;
    private boolean closed;

    private HeldResponseMemory(HeldMemory memory, MemoryHolder holder, boolean shared) {
        this.memory = memory;
        this.holder = holder;
        this.shared = shared;
        this.uncounted = shared ? 0 : USUAL_BYTES;
    }

    /**
     * Counts the response to a caller's request beside all else that is held for that request, with which it is broken off.
     *
     * @param memory the budget
     * @param caller holder of the request
     */
    static HeldResponseMemory ofCaller(HeldMemory memory, MemoryHolder caller) {
        return new HeldResponseMemory(memory, caller, true);
    }

    /**
     * Opens the holder of the response to a call of the node's own.
     *
     * @param memory     the budget
     * @param repeatable true if the call may be sent more than once
     * @param breakOff   closes the connection if there is no room; runs on the thread that reserves memory
     */
    static HeldResponseMemory ofNode(HeldMemory memory, boolean repeatable, Runnable breakOff) {
        MemoryHolder own = memory.open();
        own.describe("own-call", repeatable);
        own.onBreakOff(breakOff);
        return new HeldResponseMemory(memory, own, false);
    }

    /** Adds bytes of the head, which have been decoded. */
    void addHead(ByteBuf buffer, int from, int bytes) {
        long added = cost(buffer, from, bytes);
        head += added;
        resize(added);
    }

    /** Releases the head of an interim response. */
    void dropHead() {
        resize(-head);
        head = 0;
    }

    /** Adds bytes behind the head that gave no data: trailers, or the line before a chunk. */
    void addTrailers(ByteBuf buffer, int from, int bytes) {
        long added = cost(buffer, from, bytes);
        trailers += added;
        resize(added);
    }

    /** Releases what gave no data when data follows it. */
    void dropTrailers() {
        resize(-trailers);
        trailers = 0;
    }

    /** Adds data of a body that its reader keeps until it is complete. */
    void addBody(int bytes) {
        body = true;
        resize((long) bytes * BODY_COPIES);
    }

    /** Returns whether data of a body was added. */
    boolean hasBody() {
        return body;
    }

    /** Releases everything. */
    void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (!shared) {
            memory.close(holder);
        } else if (reserved > 0) {
            memory.release(holder, HeldKind.BUFFERED_RESPONSE, reserved);
        }
    }

    private void resize(long bytes) {
        held += bytes;
        long added = Math.max(0, held - uncounted) - reserved;
        if (closed || added == 0) {
            return;
        }
        reserved += added;
        if (added > 0) {
            memory.reserve(holder, HeldKind.BUFFERED_RESPONSE, added);
        } else {
            memory.release(holder, HeldKind.BUFFERED_RESPONSE, -added);
        }
    }

    private static long cost(ByteBuf buffer, int from, int bytes) {
        int lines = 0;
        int end = from + bytes;
        for (int next = buffer.indexOf(from, end, LINE_FEED);
                next >= 0;
                next = buffer.indexOf(next + 1, end, LINE_FEED)) {
            lines++;
        }
        return (long) lines * LINE_BYTES + (long) bytes * COPIES;
    }
}
