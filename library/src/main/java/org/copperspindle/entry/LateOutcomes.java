package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.claims.ClaimClient;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * Attempts that no request of this entry waits for any more, and how to handle an outcome that still arrives for one.
 *
 * <p>An outcome that nobody acknowledges stays at its agent, which then waits its whole drain time when it stops. The
 * outcome of an unrepeatable attempt is acknowledged only after its claim is settled, as for an open attempt: otherwise
 * the agent could forget it while the claim still reads as open, and a resend would get {@code MAY_HAVE_RUN}. The
 * number of attempts is bounded; outcomes of evicted ones stay unacknowledged.
 */
final class LateOutcomes {

    private static final int MAX_ATTEMPTS = 4096;

    private final AgentPort agents;
    private final ClaimClient claims;
    /** The settlement to complete before the acknowledgement, if any, by attempt id. */
    private final Map<String, Optional<ClaimSettleMessage>> attempts = new LinkedHashMap<>();

    LateOutcomes(AgentPort agents, ClaimClient claims) {
        this.agents = agents;
        this.claims = claims;
    }

    /** Remembers an attempt whose outcome nobody needs any more. */
    void remember(String attemptId) {
        attempts.put(attemptId, Optional.empty());
        evictOldest();
    }

    /** Remembers an attempt whose outcome a resend may query until its claim is settled. */
    void rememberClaimed(ClaimSettleMessage settlement) {
        attempts.putIfAbsent(settlement.attemptId(), Optional.of(settlement));
        evictOldest();
    }

    /** Handles an outcome that no request waits for. */
    void onOutcome(InetSocketAddress agent, AttemptOutcomeMessage outcome) {
        Optional<ClaimSettleMessage> settlement = attempts.get(outcome.attemptId());
        if (settlement == null) {
            return;
        }
        boolean refused = outcome.verdict() instanceof NotRunVerdict;
        if (settlement.isEmpty()) {
            acknowledge(agent, outcome.attemptId());
        } else {
            claims.settle(settlement.get().as(outcome.verdict()), () -> {
                if (!refused) {
                    acknowledge(agent, outcome.attemptId());
                }
            });
        }
    }

    private void acknowledge(InetSocketAddress agent, String attemptId) {
        remember(attemptId);
        agents.send(agent, new OutcomeAckMessage(attemptId));
    }

    private void evictOldest() {
        if (attempts.size() > MAX_ATTEMPTS) {
            attempts.remove(attempts.keySet().iterator().next());
        }
    }
}
