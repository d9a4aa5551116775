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
 * One entry's side of the claims: asks until it is answered, through lost replies and changes of the leader. Asks with
 * the same attempt id each time, so that a claim whose reply was lost is granted again rather than held against its own
 * attempt. Runs on the decision ring.
 */
public final class ClaimClient {

    private static final long ASK_AGAIN_NANOS = Duration.ofMillis(250).toNanos();
    private static final long PATIENCE_NANOS = Duration.ofSeconds(3).toNanos();
    private static final long SETTLE_PATIENCE_NANOS = Duration.ofSeconds(60).toNanos();
    private static final int MAX_ABANDONED = 1024;
    private static final int MAX_SETTLING = 8192;

    private final TimerService timers;
    private final Predicate<WireMessage> sender;
    private final Map<Long, Asking> asking = new HashMap<>();
    private final Map<String, Long> byAttempt = new HashMap<>();
    private final Map<Long, ClaimRequestMessage> abandoned = new LinkedHashMap<>();
    private final Map<Long, Settling> settling = new LinkedHashMap<>();
    private long nextCorrelation = 1;

    /**
     * Creates a client.
     *
     * @param timers time
     * @param sender sends a message to the control leader; false if it was not sent
     */
    public ClaimClient(TimerService timers, Predicate<WireMessage> sender) {
        this.timers = timers;
        this.sender = sender;
    }

    /**
     * Asks for a claim. After three seconds without a decision, the claim is given up and reported as unavailable.
     *
     * @param request the claim, not yet numbered
     * @param decided told once, unless the claim is abandoned before
     */
    public void claim(ClaimRequestMessage request, Consumer<ClaimDecision> decided) {
        long correlation = nextCorrelation++;
        Asking ask = new Asking(request.numbered(correlation), decided, timers.nanoTime() + PATIENCE_NANOS);
        asking.put(correlation, ask);
        byAttempt.put(request.attemptId(), correlation);
        ask(ask);
    }

    /**
     * Stops asking for a claim: its attempt will never be dispatched. Should it be granted all the same, it is settled
     * as not run, so that the key is free for a resend.
     *
     * @param attemptId the attempt; nothing happens if its claim was decided before
     */
    public void abandon(String attemptId) {
        Long correlation = byAttempt.remove(attemptId);
        if (correlation == null) {
            return;
        }
        Asking ask = asking.remove(correlation);
        ask.timer.cancel();
        abandoned.put(correlation, ask.request);
        if (abandoned.size() > MAX_ABANDONED) {
            abandoned.remove(abandoned.keySet().iterator().next());
        }
    }

    /**
     * Settles a claim and says when that is committed. Given up after a minute: the claim then stays held and the agent
     * keeps the outcome, which is safe.
     *
     * @param settle    the settlement, not yet numbered
     * @param committed run once it is committed
     */
    public void settle(ClaimSettleMessage settle, Runnable committed) {
        long correlation = nextCorrelation++;
        Settling item =
                new Settling(settle.numbered(correlation), committed, timers.nanoTime() + SETTLE_PATIENCE_NANOS);
        settling.put(correlation, item);
        if (settling.size() > MAX_SETTLING) {
            Long oldest = settling.keySet().iterator().next();
            settling.remove(oldest).timer.cancel();
        }
        ask(item);
    }

    /**
     * Takes a reply of the leader.
     *
     * @param message any message; others than replies to claims and settlements are left alone
     */
    public void onReply(WireMessage message) {
        if (message instanceof ClaimReplyMessage reply) {
            onClaimReply(reply);
        } else if (message instanceof ClaimSettledMessage settled) {
            Settling item = settling.remove(settled.correlation());
            if (item != null) {
                item.timer.cancel();
                item.committed.run();
            }
        }
    }

    /**
     * Returns the number of claims and settlements that wait for the leader.
     *
     * @return a count
     */
    public int pending() {
        return asking.size() + settling.size();
    }

    private void onClaimReply(ClaimReplyMessage reply) {
        ClaimRequestMessage late = abandoned.remove(reply.correlation());
        if (late != null) {
            releaseAbandoned(late, reply);
            return;
        }
        Asking ask = asking.get(reply.correlation());
        if (ask == null || reply.decision().result() == ClaimResult.UNAVAILABLE) {
            // Late, or a member that has lost the lead: the timer asks again.
            return;
        }
        finish(ask, reply.decision());
    }

    private void releaseAbandoned(ClaimRequestMessage late, ClaimReplyMessage reply) {
        boolean granted = reply.decision().result() == ClaimResult.GRANTED;
        if (granted && reply.decision().attemptId().equals(late.attemptId())) {
            settle(
                    new ClaimSettleMessage(
                            0,
                            late.account(),
                            late.key(),
                            late.stage(),
                            late.attemptId(),
                            new NotRunVerdict("never-dispatched"),
                            late.shard()),
                    () -> {});
        }
    }

    private void finish(Asking ask, ClaimDecision decision) {
        ask.timer.cancel();
        asking.remove(ask.request.correlation());
        byAttempt.remove(ask.request.attemptId());
        ask.decided.accept(decision);
    }

    private void ask(Asking ask) {
        if (timers.nanoTime() >= ask.until) {
            abandon(ask.request.attemptId());
            ask.decided.accept(ClaimDecision.of(ClaimResult.UNAVAILABLE));
            return;
        }
        sender.test(ask.request);
        ask.timer = timers.schedule(ASK_AGAIN_NANOS, () -> ask(ask));
    }

    private void ask(Settling item) {
        if (timers.nanoTime() >= item.until) {
            settling.remove(item.settle.correlation());
            return;
        }
        sender.test(item.settle);
        item.timer = timers.schedule(ASK_AGAIN_NANOS, () -> ask(item));
    }

    /** A claim under way. */
    private static final class Asking {
        private final ClaimRequestMessage request;
        private final Consumer<ClaimDecision> decided;
        private final long until;
        private TimerSubscription timer = () -> {};

        private Asking(ClaimRequestMessage request, Consumer<ClaimDecision> decided, long until) {
            this.request = request;
            this.decided = decided;
            this.until = until;
        }
    }

    /** A settlement under way. */
    private static final class Settling {
        private final ClaimSettleMessage settle;
        private final Runnable committed;
        private final long until;
        private TimerSubscription timer = () -> {};

        private Settling(ClaimSettleMessage settle, Runnable committed, long until) {
            this.settle = settle;
            this.committed = committed;
            this.until = until;
        }
    }
}
