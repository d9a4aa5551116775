package org.copperspindle.claims;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.WireMessage;

/**
 * The claim client of an entry. It repeats each request until it is answered, despite lost replies and leader
 * changes. Every repetition carries the same attempt id, so that a claim whose reply was lost is granted again
 * instead of being refused because of its own attempt. Runs on the decision ring.
 */
public final class ClaimClient {

    private static final long RETRY_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();
    private static final long CLAIM_TIMEOUT_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long SETTLE_TIMEOUT_NANOS = Duration.ofSeconds(60).toNanos();
    private static final int MAX_ABANDONED = 1024;
    private static final int MAX_SETTLING = 8192;

    private final TimerService timers;
    private final Predicate<WireMessage> sender;
    private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();
    private final Map<String, Long> correlationByAttempt = new HashMap<>();
    private final Map<Long, ClaimRequestMessage> abandoned = new LinkedHashMap<>();
    private final Map<Long, PendingSettlement> pendingSettlements = new LinkedHashMap<>();
    private long nextCorrelation = 1;

    /**
     * Creates a client.
     *
     * @param timers timers of the decision ring
     * @param sender sends a message to the control leader; returns false if it was not sent
     */
    public ClaimClient(TimerService timers, Predicate<WireMessage> sender) {
        this.timers = timers;
        this.sender = sender;
    }

    /**
     * Requests a claim. After three seconds without a decision the claim is abandoned and reported as unavailable.
     *
     * @param request the claim, without a correlation number
     * @param decided called once with the decision, unless the claim is abandoned before
     */
    public void claim(ClaimRequestMessage request, Consumer<ClaimDecision> decided) {
        long correlation = nextCorrelation++;
        PendingClaim pending =
                new PendingClaim(request.numbered(correlation), decided, timers.nanoTime() + CLAIM_TIMEOUT_NANOS);
        pendingClaims.put(correlation, pending);
        correlationByAttempt.put(request.attemptId(), correlation);
        send(pending);
    }

    /**
     * Abandons a claim whose attempt will never be dispatched. If it is granted nevertheless, it is settled as not
     * run, so that the key is free for a resend.
     *
     * @param attemptId the attempt; ignored if its claim was already decided
     */
    public void abandon(String attemptId) {
        Long correlation = correlationByAttempt.remove(attemptId);
        if (correlation == null) {
            return;
        }
        PendingClaim pending = pendingClaims.remove(correlation);
        pending.timer.cancel();
        abandoned.put(correlation, pending.request);
        if (abandoned.size() > MAX_ABANDONED) {
            abandoned.remove(abandoned.keySet().iterator().next());
        }
    }

    /**
     * Settles a claim and reports when the settlement is committed. Abandoned after a minute: the claim then stays
     * held and the agent keeps the outcome, which is safe.
     *
     * @param settle    the settlement, without a correlation number
     * @param committed called once it is committed
     */
    public void settle(ClaimSettleMessage settle, Runnable committed) {
        long correlation = nextCorrelation++;
        PendingSettlement settlement = new PendingSettlement(
                settle.numbered(correlation), committed, timers.nanoTime() + SETTLE_TIMEOUT_NANOS);
        pendingSettlements.put(correlation, settlement);
        if (pendingSettlements.size() > MAX_SETTLING) {
            Long oldest = pendingSettlements.keySet().iterator().next();
            pendingSettlements.remove(oldest).timer.cancel();
        }
        send(settlement);
    }

    /**
     * Processes a reply of the leader.
     *
     * @param message any message; only replies to claims and settlements are handled
     */
    public void onReply(WireMessage message) {
        if (message instanceof ClaimReplyMessage reply) {
            onClaimReply(reply);
        } else if (message instanceof ClaimSettledMessage settled) {
            PendingSettlement settlement = pendingSettlements.remove(settled.correlation());
            if (settlement != null) {
                settlement.timer.cancel();
                settlement.committed.run();
            }
        }
    }

    /**
     * Returns the number of claims and settlements waiting for the leader.
     *
     * @return a count
     */
    public int pending() {
        return pendingClaims.size() + pendingSettlements.size();
    }

    private void onClaimReply(ClaimReplyMessage reply) {
        ClaimRequestMessage abandonedRequest = abandoned.remove(reply.correlation());
        if (abandonedRequest != null) {
            releaseAbandoned(abandonedRequest, reply);
            return;
        }
        PendingClaim pending = pendingClaims.get(reply.correlation());
        if (pending == null || reply.decision().result() == ClaimResult.UNAVAILABLE) {
            // A late reply, or one of a member that is no longer the leader: the timer repeats the request.
            return;
        }
        finish(pending, reply.decision());
    }

    private void releaseAbandoned(ClaimRequestMessage abandonedRequest, ClaimReplyMessage reply) {
        boolean granted = reply.decision().result() == ClaimResult.GRANTED;
        if (granted && reply.decision().attemptId().equals(abandonedRequest.attemptId())) {
            settle(
                    new ClaimSettleMessage(
                            0,
                            abandonedRequest.account(),
                            abandonedRequest.key(),
                            abandonedRequest.stage(),
                            abandonedRequest.attemptId(),
                            new NotRunVerdict("never-dispatched"),
                            abandonedRequest.shard()),
                    () -> {});
        }
    }

    private void finish(PendingClaim pending, ClaimDecision decision) {
        pending.timer.cancel();
        pendingClaims.remove(pending.request.correlation());
        correlationByAttempt.remove(pending.request.attemptId());
        pending.decided.accept(decision);
    }

    private void send(PendingClaim pending) {
        if (timers.nanoTime() >= pending.expiresAt) {
            abandon(pending.request.attemptId());
            pending.decided.accept(ClaimDecision.of(ClaimResult.UNAVAILABLE));
            return;
        }
        sender.test(pending.request);
        pending.timer = timers.schedule(RETRY_INTERVAL_NANOS, () -> send(pending));
    }

    private void send(PendingSettlement settlement) {
        if (timers.nanoTime() >= settlement.expiresAt) {
            pendingSettlements.remove(settlement.settle.correlation());
            return;
        }
        sender.test(settlement.settle);
        settlement.timer = timers.schedule(RETRY_INTERVAL_NANOS, () -> send(settlement));
    }

    /** A claim without a decision. */
    private static final class PendingClaim {
        private final ClaimRequestMessage request;
        private final Consumer<ClaimDecision> decided;
        private final long expiresAt;
        private TimerSubscription timer = () -> {};

        private PendingClaim(ClaimRequestMessage request, Consumer<ClaimDecision> decided, long expiresAt) {
            this.request = request;
            this.decided = decided;
            this.expiresAt = expiresAt;
        }
    }

    /** A settlement that is not committed yet. */
    private static final class PendingSettlement {
        private final ClaimSettleMessage settle;
        private final Runnable committed;
        private final long expiresAt;
        private TimerSubscription timer = () -> {};

        private PendingSettlement(ClaimSettleMessage settle, Runnable committed, long expiresAt) {
            this.settle = settle;
            this.committed = committed;
            this.expiresAt = expiresAt;
        }
    }
}
