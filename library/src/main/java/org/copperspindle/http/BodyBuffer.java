package org.copperspindle.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * A request body that arrives in parts. It grows by segments that are never copied while it arrives, so that it takes no more
 * memory than {@link #capacity()}.
 */
final class BodyBuffer {

    private static final int FIRST_SEGMENT_BYTES = 1 << 10;
    private static final int MAX_SEGMENT_BYTES = 64 << 10;

    private final List<byte[]> segments = new ArrayList<>(1);
    private final int maxBytes;
    private int capacity;
    private int size;
    private int lastSize;

    /**
     * Creates an empty body.
     *
     * @param maxBytes the most that it may take
     */
    BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    int size() {
        return size;
    }

    int capacity() {
        return capacity;
    }

    /** Returns the capacity after {@link #append} of a number of bytes. */
    int capacityFor(int bytes) {
        int needed = capacity;
        while (needed < size + bytes) {
            needed += nextSegment(needed);
        }
        return needed;
    }

    /** Allocates a body whose length is known. */
    void allocate(int bytes) {
        if (bytes > 0) {
            add(bytes);
        }
    }

    /** Appends all readable bytes. */
    void append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (size == capacity) {
                add(nextSegment(capacity));
            }
            byte[] last = segments.get(segments.size() - 1);
            int count = Math.min(bytes.readableBytes(), last.length - lastSize);
            bytes.readBytes(last, lastSize, count);
            lastSize += count;
            size += count;
        }
    }

    /** Returns the whole body and empties this buffer. */
    byte[] take() {
        byte[] whole = segments.size() == 1 && size == capacity ? segments.get(0) : join();
        segments.clear();
        capacity = 0;
        size = 0;
        return whole;
    }

    private byte[] join() {
        byte[] whole = new byte[size];
        int at = 0;
        for (byte[] segment : segments) {
            int count = Math.min(segment.length, size - at);
            System.arraycopy(segment, 0, whole, at, count);
            at += count;
        }
        return whole;
    }

    private void add(int bytes) {
        segments.add(new byte[bytes]);
        capacity += bytes;
        lastSize = 0;
    }

    /** Doubles the capacity up to a bound, but not beyond the largest body. */
    private int nextSegment(int from) {
        int doubled = Math.min(Math.max(FIRST_SEGMENT_BYTES, from), MAX_SEGMENT_BYTES);
        return Math.max(1, Math.min(doubled, maxBytes - from));
    }
}
