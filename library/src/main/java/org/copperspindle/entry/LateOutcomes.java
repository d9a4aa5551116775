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
 * Attempts that no request of this entry waits for any more, and what is done should their outcome come late or again.
 *
 * <p>Safeguard: an outcome that nobody acknowledges stays at its agent, which then waits its whole drain time when it
 * stops. An unrepeatable one is acknowledged only after its claim is settled, as for an open attempt: acknowledged
 * earlier, the agent could forget it while the claim reads as open, and a resend would be told {@code MAY_HAVE_RUN}.
 * Enough, because what is not remembered here is left unacknowledged, as before.
 */
final class LateOutcomes {

    private static final int MAX_ATTEMPTS = 4096;

    private final AgentPort agents;
    private final ClaimClient claims;
    /** With the settlement that has to come first, if any. */
    private final Map<String, Optional<ClaimSettleMessage>> attempts = new LinkedHashMap<>();

    LateOutcomes(AgentPort agents, ClaimClient claims) {
        this.agents = agents;
        this.claims = claims;
    }

    /** Notes an attempt whose outcome is of no use to anybody any more. */
    void remember(String attemptId) {
        attempts.put(attemptId, Optional.empty());
        shrink();
    }

    /** Notes an attempt whose outcome a resend may ask for until its claim is settled. */
    void rememberClaimed(ClaimSettleMessage settlement) {
        attempts.putIfAbsent(settlement.attemptId(), Optional.of(settlement));
        shrink();
    }

    /** Takes an outcome that no request waits for. */
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

    private void shrink() {
        if (attempts.size() > MAX_ATTEMPTS) {
            attempts.remove(attempts.keySet().iterator().next());
        }
    }
}
