package org.copperspindle.entry;

import java.util.function.Consumer;

import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.claims.ClaimLimits;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.claims.ClaimSettledMessage;
import org.copperspindle.claims.ClaimTable;
import org.copperspindle.claims.LogClock;
import org.copperspindle.wire.WireMessage;

/** The claims log of a simulated deployment: commits in order, loses messages, and changes its leader. */
final class SimulatedControl {

    private final SimulatedDeployment deployment;
    private final ClaimTable table;
    private LogClock clock;
    private long term = 1;
    private boolean disconnected;

    SimulatedControl(SimulatedDeployment deployment, ClaimLimits limits) {
        this.deployment = deployment;
        this.table = new ClaimTable(limits);
        this.clock = new LogClock(deployment.timers());
    }

    ClaimTable table() {
        return table;
    }

    /** Disconnects the control members, or reconnects them. */
    void disconnected(boolean value) {
        disconnected = value;
    }

    void receive(WireMessage message, Consumer<WireMessage> reply) {
        if (disconnected || deployment.occurs(deployment.faults().controlLoss())) {
            return;
        }
        if (deployment.occurs(deployment.faults().failover())) {
            changeLeader(message, reply);
            return;
        }
        WireMessage answer = commit(message);
        if (!deployment.occurs(deployment.faults().controlLoss())) {
            reply.accept(answer);
        }
    }

    /** The old leader does not report the result of its proposal, which was either committed or not accepted. */
    private void changeLeader(WireMessage message, Consumer<WireMessage> reply) {
        if (deployment.random().nextBoolean()) {
            commit(message);
        } else if (message instanceof ClaimRequestMessage claim) {
            reply.accept(new ClaimReplyMessage(claim.correlation(), ClaimDecision.of(ClaimResult.UNAVAILABLE)));
        }
        term++;
        clock = new LogClock(deployment.timers());
    }

    private WireMessage commit(WireMessage message) {
        if (message instanceof ClaimRequestMessage claim) {
            ClaimDecision decision = table.claim(claim, clock.stamp(term, table.timeMillis()));
            return new ClaimReplyMessage(claim.correlation(), decision);
        }
        ClaimSettleMessage settle = (ClaimSettleMessage) message;
        table.settle(settle);
        return new ClaimSettledMessage(settle.correlation());
    }
}
