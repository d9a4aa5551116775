package org.copperspindle.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.edition.EditionExchange;
import org.copperspindle.edition.EditionMessage;
import org.copperspindle.edition.EditionObserver;
import org.copperspindle.edition.EvacuationsMessage;
import org.copperspindle.edition.MemberKeeper;
import org.copperspindle.edition.MemberStatus;
import org.copperspindle.edition.MeshRoster;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.time.TimerService;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;

/**
 * The control group's member of a node with a disk, on a decision ring of its own, so that a slow disk never holds a request
 * up. What it decides reaches the node on its network thread.
 */
final class GroupMember implements AutoCloseable {

    /** Name of the group, and of its folder. */
    static final String NAME = "control";

    /**
     * After which a silent leader is replaced. A cut leader is noticed well within the time in which a change must be
     * accepted; a disk that takes 150 ms for a sync does not hold heartbeats up.
     */
    static final Duration ELECTION_TIMEOUT = Duration.ofMillis(1000);

    private final DecisionRing decisions = new DecisionRing("decisions", DecisionRing.DEFAULT_SLOTS);
    private final EditionExchange exchange;
    private final Executor network;
    private final NodeMemberOpener opener;
    private final MemberKeeper keeper;
    private volatile boolean grouped;

    /**
     * Opens the member, and opens it again whenever its disk works again.
     *
     * @param settings   settings of the node
     * @param folder     folder of the member
     * @param roster     who may be in the group
     * @param exchange   told of versions, the leader and the member
     * @param transports makes the member's transport
     * @param network    the network thread
     */
    GroupMember(
            GatewaySettings settings,
            Path folder,
            MeshRoster roster,
            EditionExchange exchange,
            Supplier<WireTransport> transports,
            Executor network) {
        this.exchange = exchange;
        this.network = network;
        TimerService timers = new SystemTimerService("timer", decisions);
        ConsensusSettings consensus = new ConsensusSettings(
                NAME,
                NumericAddress.format(settings.mesh()),
                MeshRoster.memberAddress(settings.mesh()),
                settings.control(),
                roster,
                true,
                folder,
                ELECTION_TIMEOUT);
        this.opener = new NodeMemberOpener(
                decisions,
                timers,
                transports,
                consensus,
                MeshRoster.memberAddress(settings.meshBind().orElse(settings.mesh())),
                new Recorded(),
                this::status);
        this.keeper = new MemberKeeper(timers, opener, opened -> network.execute(() -> exchange.member(opened)));
        decisions.execute(keeper::start);
    }

    /** Says whether the member has seen a group at work. */
    boolean isGrouped() {
        return grouped;
    }

    @Override
    public void close() {
        keeper.close();
        opener.close();
        decisions.close();
    }

    private void status(MemberStatus status) {
        grouped |= !status.leader().isEmpty();
        network.execute(() -> exchange.status(status));
    }

    /** Hands on what the member has recorded. */
    private final class Recorded implements EditionObserver {
        @Override
        public void onVersion(EditionMessage edition) {
            grouped = true;
            network.execute(() -> exchange.recorded(edition));
        }

        @Override
        public void onEvacuations(EvacuationsMessage evacuations) {
            grouped = true;
            network.execute(() -> exchange.recorded(evacuations));
        }
    }
}
