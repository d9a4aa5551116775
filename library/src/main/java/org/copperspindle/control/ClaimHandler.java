package org.copperspindle.control;

import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimSettledMessage;
import org.copperspindle.claims.LogClock;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.WireMessage;

/**
 * Handles claims at the leader: adds the time, proposes them to the log, and replies once they are committed. Runs on
 * the decision ring.
 */
final class ClaimHandler {

    private final ReplicatedLog log;
    private final ControlState state;
    private final LogClock clock;

    ClaimHandler(TimerService timers, ReplicatedLog log, ControlState state) {
        this.log = log;
        this.state = state;
        this.clock = new LogClock(timers);
    }

    /** Handles a message; returns false if it is not about claims. */
    boolean receive(Peer peer, WireMessage message) {
        if (message instanceof ClaimRequestMessage claim) {
            claim(peer, claim);
            return true;
        }
        if (message instanceof ClaimSettleMessage settle) {
            settle(peer, settle);
            return true;
        }
        return false;
    }

    private void claim(Peer peer, ClaimRequestMessage claim) {
        long at = clock.stamp(log.term(), state.claims().timeMillis());
        ClaimCommand command = new ClaimCommand(ClaimRequestMessage.CODEC.encode(claim), at);
        log.propose(state.encode(command), result -> {
            if (result instanceof ProposalResult.Committed committed
                    && committed.result() instanceof ControlResult.Claimed claimed) {
                peer.send(new ClaimReplyMessage(claim.correlation(), claimed.decision()));
            } else if (result instanceof ProposalResult.NotTaken) {
                peer.send(new ClaimReplyMessage(claim.correlation(), ClaimDecision.of(ClaimResult.UNAVAILABLE)));
            }
            // Unknown: no reply. The entry repeats the request with the same attempt, which is granted if the first
            // proposal was committed.
        });
    }

    private void settle(Peer peer, ClaimSettleMessage settle) {
        log.propose(state.encode(new SettleCommand(ClaimSettleMessage.CODEC.encode(settle))), result -> {
            if (result instanceof ProposalResult.Committed) {
                peer.send(new ClaimSettledMessage(settle.correlation()));
            }
        });
    }
}
