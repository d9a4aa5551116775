package org.copperspindle.claims;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Claims of unrepeatable stages; part of the replicated state. Safeguard: without it, a resend through another entry
 * would run an install a second time. Enough, because no entry dispatches before its claim is committed, and one key
 * has at most one attempt that is not proven not run.
 *
 * <p>Time is the log's: the leader stamps each command by {@link LogClock}, and the table never goes back. No clock of a
 * caller or entry is asked.
 */
public final class ClaimTable {

    private final ClaimLimits limits;
    private final Map<Integer, ClaimShard> shards = new TreeMap<>();
    private long timeMillis;

    /** Creates an empty table with the usual limits. */
    public ClaimTable() {
        this(ClaimLimits.DEFAULT);
    }

    /**
     * Creates an empty table.
     *
     * @param limits its bounds
     */
    public ClaimTable(ClaimLimits limits) {
        this.limits = limits;
    }

    /**
     * Decides a claim.
     *
     * @param request the request
     * @param atMillis time of the log that the leader stamped it with, in milliseconds
     * @return the decision and the attempt that holds the key
     */
    public ClaimDecision claim(ClaimRequestMessage request, long atMillis) {
        timeMillis = Math.max(timeMillis, atMillis);
        int shard = ClaimShards.of(request.account(), request.key());
        if (shard != request.shard()) {
            // A sender with another number of shards would look for the key in the wrong place and not find it.
            return ClaimDecision.of(ClaimResult.UNAVAILABLE);
        }
        return shards.computeIfAbsent(shard, s -> new ClaimShard(limits)).claim(request, timeMillis);
    }

    /**
     * Records how a claimed attempt ended. Only {@code NOT_RUN} frees the key, and only if the attempt holds it and
     * was not settled otherwise before.
     *
     * @param settle the settlement
     */
    public void settle(ClaimSettleMessage settle) {
        ClaimShard shard = shards.get(ClaimShards.of(settle.account(), settle.key()));
        if (shard != null) {
            shard.settle(settle);
        }
    }

    /**
     * Returns the time of the log.
     *
     * @return milliseconds of leadership since the log began
     */
    public long timeMillis() {
        return timeMillis;
    }

    /**
     * Returns the number of claims whose attempt is known.
     *
     * @return a count
     */
    public int size() {
        return shards.values().stream().mapToInt(ClaimShard::size).sum();
    }

    /**
     * Returns the number of keys that are refused.
     *
     * @return a count
     */
    public int refusedKeys() {
        return shards.values().stream().mapToInt(ClaimShard::refusedKeys).sum();
    }

    /**
     * Takes a snapshot of the table.
     *
     * @return bytes that {@link #restore} takes; equal tables give equal bytes
     */
    public byte[] snapshot() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packLong(timeMillis).packMapHeader(shards.size());
            for (Map.Entry<Integer, ClaimShard> entry : shards.entrySet()) {
                out.packInt(entry.getKey());
                entry.getValue().write(out);
            }
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer can always be written", e);
        }
    }

    /**
     * Replaces the whole table.
     *
     * @param snapshot what {@link #snapshot} made; empty for an empty table
     * @throws UncheckedIOException if the bytes end early
     */
    public void restore(byte[] snapshot) {
        shards.clear();
        timeMillis = 0;
        if (snapshot.length == 0) {
            return;
        }
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(snapshot)) {
            timeMillis = in.unpackLong();
            int count = in.unpackMapHeader();
            for (int i = 0; i < count; i++) {
                int number = in.unpackInt();
                shards.put(number, ClaimShard.read(in, limits));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("claim snapshot ends early", e);
        }
    }
}
