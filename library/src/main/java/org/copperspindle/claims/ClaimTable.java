package org.copperspindle.claims;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;

import org.copperspindle.verdict.NotRunVerdict;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Claims of unrepeatable stages; part of the replicated state. Safeguard: without it, a resend through another entry
 * would run an install a second time. Enough, because no entry dispatches before its claim is committed, and one key
 * has at most one attempt that is not proven not run.
 */
public final class ClaimTable {

    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();

    /**
     * Decides a claim.
     *
     * @param request the request
     * @return the decision and the attempt that holds the key
     */
    public Decision claim(ClaimRequestMessage request) {
        ClaimKey key = new ClaimKey(request.account(), request.key(), request.stage());
        Claim held = claims.get(key);
        if (held == null) {
            claims.put(key, new Claim(request.attemptId(), request.upstreamId(), request.bodyDigest(), false));
            return new Decision(ClaimResult.GRANTED, request.attemptId(), request.upstreamId());
        }
        if (!Arrays.equals(held.bodyDigest(), request.bodyDigest())) {
            return new Decision(ClaimResult.CONFLICT, "", "");
        }
        if (held.attemptId().equals(request.attemptId())) {
            return new Decision(ClaimResult.GRANTED, held.attemptId(), held.upstreamId());
        }
        if (held.released()) {
            claims.put(key, new Claim(request.attemptId(), request.upstreamId(), request.bodyDigest(), false));
            return new Decision(ClaimResult.GRANTED, request.attemptId(), request.upstreamId());
        }
        return new Decision(ClaimResult.HELD, held.attemptId(), held.upstreamId());
    }

    /**
     * Records how a claimed attempt ended. Only {@code NOT_RUN} frees the key; a settlement of an attempt that no longer
     * holds the key changes nothing.
     *
     * @param settle the settlement
     */
    public void settle(ClaimSettleMessage settle) {
        ClaimKey key = new ClaimKey(settle.account(), settle.key(), settle.stage());
        Claim held = claims.get(key);
        if (held == null || !held.attemptId().equals(settle.attemptId())) {
            return;
        }
        if (settle.verdict() instanceof NotRunVerdict) {
            claims.put(key, new Claim(held.attemptId(), held.upstreamId(), held.bodyDigest(), true));
        }
    }

    /**
     * Returns the number of claims held.
     *
     * @return a count
     */
    public int size() {
        return claims.size();
    }

    /**
     * Takes a snapshot of the table.
     *
     * @return bytes that {@link #restore} takes; equal tables give equal bytes
     */
    public byte[] snapshot() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(claims.size());
            for (Map.Entry<ClaimKey, Claim> entry : claims.entrySet()) {
                ClaimKey key = entry.getKey();
                Claim claim = entry.getValue();
                out.packString(key.account()).packString(key.key()).packString(key.stage());
                out.packString(claim.attemptId()).packString(claim.upstreamId());
                out.packBinaryHeader(claim.bodyDigest().length).writePayload(claim.bodyDigest());
                out.packBoolean(claim.released());
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
     */
    public void restore(byte[] snapshot) {
        claims.clear();
        if (snapshot.length == 0) {
            return;
        }
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(snapshot)) {
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                ClaimKey key = new ClaimKey(in.unpackString(), in.unpackString(), in.unpackString());
                String attempt = in.unpackString();
                String upstream = in.unpackString();
                byte[] digest = in.readPayload(in.unpackBinaryHeader());
                claims.put(key, new Claim(attempt, upstream, digest, in.unpackBoolean()));
            }
        } catch (IOException e) {
            throw new UncheckedIOException("claim snapshot ends early", e);
        }
    }

    /**
     * The decision on a claim.
     *
     * @param result     what was decided
     * @param attemptId  attempt that holds the key, empty if none does
     * @param upstreamId upstream of that attempt
     */
    public record Decision(ClaimResult result, String attemptId, String upstreamId) {}

    private record ClaimKey(String account, String key, String stage) {}

    private record Claim(String attemptId, String upstreamId, byte[] bodyDigest, boolean released) {}
}
