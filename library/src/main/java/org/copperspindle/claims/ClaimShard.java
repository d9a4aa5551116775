package org.copperspindle.claims;

import java.io.IOException;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.copperspindle.verdict.NotRunVerdict;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The claims of one shard, the unit that could be moved to another consensus group.
 */
final class ClaimShard {

    private final ClaimLimits limits;
    /** Ordered by the time of the grant, oldest first, so that expired claims are at the front. */
    private final Map<ClaimKey, Claim> claims = new LinkedHashMap<>();

    private final RefusedKeys refused;

    ClaimShard(ClaimLimits limits) {
        this(limits, new RefusedKeys(limits));
    }

    private ClaimShard(ClaimLimits limits, RefusedKeys refused) {
        this.limits = limits;
        this.refused = refused;
    }

    ClaimDecision claim(ClaimRequestMessage request, long now) {
        expire(now);
        ClaimKey key = new ClaimKey(request.account(), request.key(), request.stage());
        Claim held = claims.get(key);
        if (held == null) {
            return claimNew(key, request, now);
        }
        if (!Arrays.equals(held.bodyDigest(), request.bodyDigest())) {
            return ClaimDecision.of(ClaimResult.CONFLICT);
        }
        boolean same = held.attemptId().equals(request.attemptId());
        if (held.state() != State.RELEASED) {
            return held.decision(same ? ClaimResult.GRANTED : ClaimResult.HELD);
        }
        if (same) {
            // Settled as not run after a query to the agent. Granting it again would let two attempts hold one key.
            return ClaimDecision.of(ClaimResult.RELEASED);
        }
        return grant(key, request, now);
    }

    void settle(ClaimSettleMessage settle) {
        ClaimKey key = new ClaimKey(settle.account(), settle.key(), settle.stage());
        Claim held = claims.get(key);
        if (held == null || !held.attemptId().equals(settle.attemptId()) || held.state() != State.OPEN) {
            // Late or duplicate. In particular, an attempt that has run is never released by a later NOT_RUN, which
            // an agent reports if it has forgotten an acknowledged outcome.
            return;
        }
        claims.put(key, held.settled(settle.verdict() instanceof NotRunVerdict ? State.RELEASED : State.ENDED));
    }

    int size() {
        return claims.size();
    }

    int refusedKeys() {
        return refused.size();
    }

    void write(MessagePacker out) throws IOException {
        out.packArrayHeader(claims.size());
        for (Map.Entry<ClaimKey, Claim> entry : claims.entrySet()) {
            ClaimKey key = entry.getKey();
            out.packString(key.account()).packString(key.key()).packString(key.stage());
            entry.getValue().write(out);
        }
        refused.write(out);
    }

    static ClaimShard read(MessageUnpacker in, ClaimLimits limits) throws IOException {
        int count = in.unpackArrayHeader();
        Map<ClaimKey, Claim> read = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            ClaimKey key = new ClaimKey(in.unpackString(), in.unpackString(), in.unpackString());
            read.put(key, Claim.read(in));
        }
        ClaimShard shard = new ClaimShard(limits, RefusedKeys.read(in, limits));
        shard.claims.putAll(read);
        return shard;
    }

    private ClaimDecision claimNew(ClaimKey key, ClaimRequestMessage request, long now) {
        if (refused.contains(key.hash())) {
            return ClaimDecision.of(ClaimResult.EXPIRED);
        }
        if (claims.size() >= limits.maxClaims()) {
            // Refuses new keys to bound the memory: dropping old claims would let them run again.
            return ClaimDecision.of(ClaimResult.FULL);
        }
        return grant(key, request, now);
    }

    private ClaimDecision grant(ClaimKey key, ClaimRequestMessage request, long now) {
        Claim claim = new Claim(
                request.attemptId(),
                request.upstreamId(),
                request.agentIncarnation(),
                request.clockMicros(),
                request.bodyDigest(),
                now,
                State.OPEN);
        claims.remove(key);
        claims.put(key, claim);
        return claim.decision(ClaimResult.GRANTED);
    }

    private void expire(long now) {
        refused.expire(now);
        Iterator<Map.Entry<ClaimKey, Claim>> oldest = claims.entrySet().iterator();
        while (oldest.hasNext()) {
            Map.Entry<ClaimKey, Claim> entry = oldest.next();
            if (entry.getValue().grantedAt() + limits.outcomeTime().toMillis() > now) {
                return;
            }
            // A released key never ran and need not be stored. Any other key must stay refused; if there is no room
            // for it, the claim itself is kept.
            if (entry.getValue().state() != State.RELEASED
                    && !refused.add(entry.getKey().hash(), now)) {
                return;
            }
            oldest.remove();
        }
    }

    /** State of a claim. Stored by its ordinal. */
    private enum State {
        /** Granted; the outcome is unknown. */
        OPEN,
        /** The attempt ran or may have run. */
        ENDED,
        /** The attempt is proven not to have run. */
        RELEASED
    }

    private record Claim(
            String attemptId,
            String upstreamId,
            long agentIncarnation,
            long clockMicros,
            byte[] bodyDigest,
            long grantedAt,
            State state) {

        private Claim settled(State next) {
            return new Claim(attemptId, upstreamId, agentIncarnation, clockMicros, bodyDigest, grantedAt, next);
        }

        private ClaimDecision decision(ClaimResult result) {
            return new ClaimDecision(
                    result, attemptId, upstreamId, agentIncarnation, clockMicros, state == State.ENDED);
        }

        private void write(MessagePacker out) throws IOException {
            out.packString(attemptId)
                    .packString(upstreamId)
                    .packLong(agentIncarnation)
                    .packLong(clockMicros);
            out.packBinaryHeader(bodyDigest.length).writePayload(bodyDigest);
            out.packLong(grantedAt).packInt(state.ordinal());
        }

        private static Claim read(MessageUnpacker in) throws IOException {
            return new Claim(
                    in.unpackString(),
                    in.unpackString(),
                    in.unpackLong(),
                    in.unpackLong(),
                    in.readPayload(in.unpackBinaryHeader()),
                    in.unpackLong(),
                    State.values()[in.unpackInt()]);
        }
    }
}
