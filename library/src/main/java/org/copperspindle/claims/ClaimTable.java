package org.copperspindle.claims;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.TreeMap;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Claims of non-repeatable stages; part of the replicated state. Without them, a resend through another entry would
 * run an installation a second time. No entry dispatches before its claim is committed, and a key has at most one
 * attempt that is not proven not to have run.
 *
 * <p>The time is that of the log: the leader stamps each command with {@link LogClock}, and the table's time never
 * decreases. Clocks of callers and entries are not used.
 */
public final class ClaimTable {

    private final ClaimLimits limits;
    private final Map<Integer, ClaimShard> shards = new TreeMap<>();
    private long timeMillis;

    /** Creates an empty table with the default limits. */
    public ClaimTable() {
        this(ClaimLimits.DEFAULT);
    }

    /**
     * Creates an empty table.
     *
     * @param limits limits of the table
     */
    public ClaimTable(ClaimLimits limits) {
        this.limits = limits;
    }

    /**
     * Decides a claim.
     *
     * @param request  the request
     * @param atMillis time of the log with which the leader stamped the request, in milliseconds
     * @return the decision and the attempt that holds the key
     */
    public ClaimDecision claim(ClaimRequestMessage request, long atMillis) {
        timeMillis = Math.max(timeMillis, atMillis);
        int shard = ClaimShards.of(request.account(), request.key());
        if (shard != request.shard()) {
            // A sender with another number of shards would search the key in the wrong shard.
            return ClaimDecision.of(ClaimResult.UNAVAILABLE);
        }
        return shards.computeIfAbsent(shard, s -> new ClaimShard(limits)).claim(request, timeMillis);
    }

    /**
     * Records the outcome of a claimed attempt. Only {@code NOT_RUN} frees the key, and only if the attempt holds it
     * and was not settled differently before.
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
     * Returns the number of claims with a stored attempt.
     *
     * @return a count
     */
    public int size() {
        return shards.values().stream().mapToInt(ClaimShard::size).sum();
    }

    /**
     * Returns the number of refused keys.
     *
     * @return a count
     */
    public int refusedKeys() {
        return shards.values().stream().mapToInt(ClaimShard::refusedKeys).sum();
    }

    /**
     * Creates a snapshot of the table.
     *
     * @return bytes accepted by {@link #restore}; equal tables give equal bytes
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
            throw new UncheckedIOException("unexpected failure while writing to memory", e);
        }
    }

    /**
     * Replaces the content of the table.
     *
     * @param snapshot bytes created by {@link #snapshot}; empty for an empty table
     * @throws UncheckedIOException if the bytes are truncated
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
            throw new UncheckedIOException("claim snapshot is truncated", e);
        }
    }
}
