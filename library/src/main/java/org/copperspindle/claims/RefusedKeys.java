package org.copperspindle.claims;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

import io.netty.util.collection.LongObjectHashMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Hashes of keys whose claims have expired, so that a late resend does not run again. A hash collision only refuses a
 * request that could have run; it never runs one that must not.
 *
 * <p>Hashes are grouped into time spans and removed span by span. Only the newest span grows; the others are sorted
 * arrays with eight bytes per key.
 */
final class RefusedKeys {

    private static final int SPANS = 24;
    private static final float LOAD_FACTOR = 0.75f;
    private static final int FIRST_CAPACITY = 8;

    private final ClaimLimits limits;
    private final long spanMillis;
    private final Deque<Span> closed = new ArrayDeque<>();
    private LongObjectHashMap<Boolean> open = new LongObjectHashMap<>(FIRST_CAPACITY, LOAD_FACTOR);
    private long openedAt;
    private int size;

    RefusedKeys(ClaimLimits limits) {
        this.limits = limits;
        this.spanMillis = Math.max(1, limits.refusalTime().toMillis() / SPANS);
    }

    boolean contains(long hash) {
        return open.containsKey(hash) || closed.stream().anyMatch(span -> Arrays.binarySearch(span.hashes, hash) >= 0);
    }

    /** Adds a hash; returns false without adding it if there is no room. */
    boolean add(long hash, long now) {
        if (size >= limits.maxRefused()) {
            return false;
        }
        if (openedAt + spanMillis <= now) {
            closeSpan();
            openedAt = now;
        }
        if (open.put(hash, Boolean.TRUE) == null) {
            size++;
        }
        return true;
    }

    void expire(long now) {
        long lifetimeMillis = spanMillis + limits.refusalTime().toMillis();
        while (!closed.isEmpty() && closed.peekFirst().startedAt + lifetimeMillis <= now) {
            size -= closed.pollFirst().hashes.length;
        }
        if (openedAt + lifetimeMillis <= now) {
            size -= open.size();
            open = new LongObjectHashMap<>(FIRST_CAPACITY, LOAD_FACTOR);
        }
    }

    int size() {
        return size;
    }

    void write(MessagePacker out) throws IOException {
        out.packArrayHeader(closed.size() + 1);
        for (Span span : closed) {
            write(out, span.startedAt, span.hashes);
        }
        write(out, openedAt, sorted(open));
    }

    static RefusedKeys read(MessageUnpacker in, ClaimLimits limits) throws IOException {
        RefusedKeys keys = new RefusedKeys(limits);
        int last = in.unpackArrayHeader() - 1;
        for (int i = 0; i <= last; i++) {
            long startedAt = in.unpackLong();
            long[] hashes = new long[in.unpackArrayHeader()];
            for (int j = 0; j < hashes.length; j++) {
                hashes[j] = in.unpackLong();
            }
            keys.size += hashes.length;
            if (i < last) {
                keys.closed.addLast(new Span(startedAt, hashes));
            } else {
                keys.openedAt = startedAt;
                Arrays.stream(hashes).forEach(hash -> keys.open.put(hash, Boolean.TRUE));
            }
        }
        return keys;
    }

    private void closeSpan() {
        if (!open.isEmpty()) {
            closed.addLast(new Span(openedAt, sorted(open)));
            open = new LongObjectHashMap<>(FIRST_CAPACITY, LOAD_FACTOR);
        }
    }

    private static long[] sorted(LongObjectHashMap<Boolean> hashes) {
        long[] sorted = new long[hashes.size()];
        int i = 0;
        for (LongObjectHashMap.PrimitiveEntry<Boolean> entry : hashes.entries()) {
            sorted[i++] = entry.key();
        }
        Arrays.sort(sorted);
        return sorted;
    }

    private static void write(MessagePacker out, long startedAt, long[] hashes) throws IOException {
        out.packLong(startedAt).packArrayHeader(hashes.length);
        for (long hash : hashes) {
            out.packLong(hash);
        }
    }

    /** The sorted hashes of one time span. */
    private record Span(long startedAt, long[] hashes) {}
}
