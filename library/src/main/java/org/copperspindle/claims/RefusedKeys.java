package org.copperspindle.claims;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.netty.util.collection.LongObjectHashMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Keys whose claims have run out of time, as hashes only. Safeguard: a key resent late must not run again; enough, since
 * a hash that meets another by chance only refuses a request that could have run, never runs one that must not.
 *
 * <p>Hashes are gathered in spans of time and forgotten span by span.
 */
final class RefusedKeys {

    private static final int SPANS = 24;

    private final ClaimLimits limits;
    private final long spanMillis;
    private final Deque<Span> spans = new ArrayDeque<>();
    private int size;

    RefusedKeys(ClaimLimits limits) {
        this.limits = limits;
        this.spanMillis = Math.max(1, limits.refusalTime().toMillis() / SPANS);
    }

    boolean contains(long hash) {
        return spans.stream().anyMatch(span -> span.hashes.containsKey(hash));
    }

    /** Returns false, and adds nothing, if there is no room. */
    boolean add(long hash, long now) {
        if (size >= limits.maxRefused()) {
            return false;
        }
        if (spans.isEmpty() || spans.peekLast().startedAt + spanMillis <= now) {
            spans.addLast(new Span(now));
        }
        if (spans.peekLast().hashes.put(hash, Boolean.TRUE) == null) {
            size++;
        }
        return true;
    }

    void expire(long now) {
        long life = spanMillis + limits.refusalTime().toMillis();
        while (!spans.isEmpty() && spans.peekFirst().startedAt + life <= now) {
            size -= spans.pollFirst().hashes.size();
        }
    }

    int size() {
        return size;
    }

    void write(MessagePacker out) throws IOException {
        out.packArrayHeader(spans.size());
        for (Span span : spans) {
            long[] sorted = new long[span.hashes.size()];
            int i = 0;
            for (LongObjectHashMap.PrimitiveEntry<Boolean> entry : span.hashes.entries()) {
                sorted[i++] = entry.key();
            }
            Arrays.sort(sorted);
            out.packLong(span.startedAt).packArrayHeader(sorted.length);
            for (long hash : sorted) {
                out.packLong(hash);
            }
        }
    }

    static RefusedKeys read(MessageUnpacker in, ClaimLimits limits) throws IOException {
        RefusedKeys keys = new RefusedKeys(limits);
        int count = in.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            Span span = new Span(in.unpackLong());
            int hashes = in.unpackArrayHeader();
            for (int j = 0; j < hashes; j++) {
                span.hashes.put(in.unpackLong(), Boolean.TRUE);
            }
            keys.spans.addLast(span);
            keys.size += hashes;
        }
        return keys;
    }

    /** The hashes of one span of time. */
    private static final class Span {
        private static final float LOAD_FACTOR = 0.75f;
        private static final int FIRST_CAPACITY = 8;

        private final long startedAt;
        private final LongObjectHashMap<Boolean> hashes = new LongObjectHashMap<>(FIRST_CAPACITY, LOAD_FACTOR);

        private Span(long startedAt) {
            this.startedAt = startedAt;
        }
    }
}
