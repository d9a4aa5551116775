package org.copperspindle.http;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * A body that arrives in parts. It grows by segments that are never copied while it arrives, so that it takes no more
 * memory than {@link #capacity()}.
 */
public final class BodyBuffer {

    /** Largest step in which the capacity grows, in bytes. */
    public static final int MAX_SEGMENT_BYTES = 64 << 10;

    private static final int FIRST_SEGMENT_BYTES = 1 << 10;

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
    public BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Returns how many bytes have been appended.
     *
     * @return bytes
     */
    public int size() {
        return size;
    }

    /**
     * Returns how much memory is taken.
     *
     * @return bytes
     */
    public int capacity() {
        return capacity;
    }

    /**
     * Returns the capacity after a number of bytes are appended.
     *
     * @param bytes how many are to be appended
     * @return bytes
     */
    public int capacityFor(int bytes) {
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

    /**
     * Appends a part of an array.
     *
     * @param data the array
     * @param from position of the first byte
     * @param to   position after the last byte
     */
    public void append(byte[] data, int from, int to) {
        append(Unpooled.wrappedBuffer(data, from, to - from));
    }

    /**
     * Returns the whole body and empties this buffer.
     *
     * @return all bytes that were appended
     */
    public byte[] take() {
        byte[] whole = segments.size() == 1 && size == capacity ? segments.get(0) : join();
        clear();
        return whole;
    }

    /** Drops what was appended. */
    public void clear() {
        segments.clear();
        capacity = 0;
        size = 0;
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
