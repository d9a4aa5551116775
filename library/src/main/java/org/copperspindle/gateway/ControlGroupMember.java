package org.copperspindle.gateway;

import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import org.copperspindle.consensus.ConsensusSettings;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.time.TimerService;
import org.copperspindle.version.EvacuationsMessage;
import org.copperspindle.version.MemberStatus;
import org.copperspindle.version.MemberSupervisor;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.version.VersionObserver;
import org.copperspindle.version.VoterDiscovery;
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
    private final VersionExchange exchange;
    private final Executor network;
    private final NodeMemberOpener opener;
    private final MemberSupervisor keeper;
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
            VoterDiscovery roster,
            VersionExchange exchange,
            Supplier<WireTransport> transports,
            Executor network) {
        this.exchange = exchange;
        this.network = network;
        TimerService timers = new SystemTimerService("timer", decisions);
        ConsensusSettings consensus = new ConsensusSettings(
                NAME,
                NumericAddress.format(settings.mesh()),
                VoterDiscovery.memberAddress(settings.mesh()),
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
                VoterDiscovery.memberAddress(settings.meshBind().orElse(settings.mesh())),
                new Recorded(),
                this::status);
        this.keeper = new MemberSupervisor(timers, opener, opened -> network.execute(() -> exchange.member(opened)));
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
    private final class Recorded implements VersionObserver {
        @Override
        public void onVersion(VersionMessage edition) {
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
