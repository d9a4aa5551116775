package org.copperspindle.consensus;

import java.nio.ByteBuffer;

/**
 * One entry of the replicated log.
 *
 * @param index position, counted from 1
 * @param term  term of the leader that created it
 * @param kind  kind of its content
 * @param body  its content; never modified
 */
record LogEntry(long index, long term, EntryKind kind, byte[] body) {

    private static final int HEADER_BYTES = Long.BYTES + Long.BYTES + 1;

    int size() {
        return HEADER_BYTES + body.length;
    }

    byte[] encode() {
        return ByteBuffer.allocate(size())
                .putLong(index)
                .putLong(term)
                .put((byte) kind.ordinal())
                .put(body)
                .array();
    }

    static LogEntry decode(byte[] bytes) {
        if (bytes.length < HEADER_BYTES) {
            throw new IllegalArgumentException("entry too short");
        }
        ByteBuffer in = ByteBuffer.wrap(bytes);
        long index = in.getLong();
        long term = in.getLong();
        EntryKind kind = EntryKind.of(in.get());
        byte[] body = new byte[in.remaining()];
        in.get(body);
        return new LogEntry(index, term, kind, body);
    }
}
