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
import org.copperspindle.version.SoftwareInUseMessage;
import org.copperspindle.version.VersionExchange;
import org.copperspindle.version.VersionMessage;
import org.copperspindle.version.VersionObserver;
import org.copperspindle.version.VoterDiscovery;
import org.copperspindle.wire.NumericAddress;
import org.copperspindle.wire.WireTransport;

/**
 * The member of the control group in a node with a disk. It runs on a decision ring of its own, so that a slow disk
 * never delays a request, and passes its decisions to the network thread of the node.
 */
final class ControlGroupMember implements AutoCloseable {

    /** Name of the group and of its data folder. */
    static final String NAME = "control";

    /**
     * Time after which a silent leader is replaced. An isolated leader is detected well within the time in which a
     * change must be accepted, and a disk that takes 150 ms for a sync does not delay heartbeats.
     */
    static final Duration ELECTION_TIMEOUT = Duration.ofMillis(1000);

    private final DecisionRing decisions = new DecisionRing("decisions", DecisionRing.DEFAULT_SLOTS);
    private final VersionExchange versionExchange;
    private final Executor network;
    private final NodeMemberOpener opener;
    private final MemberSupervisor supervisor;
    private volatile boolean seenGroup;

    /**
     * Opens the member, and reopens it whenever its disk works again.
     *
     * @param settings        settings of the node
     * @param folder          folder of the member
     * @param voterDiscovery  determines the voters of the group
     * @param versionExchange receives committed versions, the leader and the opened member
     * @param transports      creates the member's transport
     * @param network         the network thread
     */
    ControlGroupMember(
            GatewaySettings settings,
            Path folder,
            VoterDiscovery voterDiscovery,
            VersionExchange versionExchange,
            Supplier<WireTransport> transports,
            Executor network) {
        this.versionExchange = versionExchange;
        this.network = network;
        TimerService timers = new SystemTimerService("timer", decisions);
        ConsensusSettings consensus = new ConsensusSettings(
                NAME,
                NumericAddress.format(settings.mesh()),
                VoterDiscovery.memberAddress(settings.mesh()),
                settings.control(),
                voterDiscovery,
                true,
                folder,
                ELECTION_TIMEOUT);
        this.opener = new NodeMemberOpener(
                decisions,
                timers,
                transports,
                consensus,
                VoterDiscovery.memberAddress(settings.meshBind().orElse(settings.mesh())),
                new CommitForwarder(),
                this::status);
        this.supervisor =
                new MemberSupervisor(timers, opener, opened -> network.execute(() -> versionExchange.member(opened)));
        decisions.execute(supervisor::start);
    }

    /** Returns whether the member has seen a working group. */
    boolean hasSeenGroup() {
        return seenGroup;
    }

    @Override
    public void close() {
        supervisor.close();
        opener.close();
        decisions.close();
    }

    private void status(MemberStatus status) {
        seenGroup |= !status.leader().isEmpty();
        network.execute(() -> versionExchange.status(status));
    }

    /** Forwards what the member has committed to the network thread. */
    private final class CommitForwarder implements VersionObserver {
        @Override
        public void onVersion(VersionMessage version) {
            seenGroup = true;
            network.execute(() -> versionExchange.onRecorded(version));
        }

        @Override
        public void onEvacuations(EvacuationsMessage evacuations) {
            seenGroup = true;
            network.execute(() -> versionExchange.onRecorded(evacuations));
        }

        @Override
        public void onSoftware(SoftwareInUseMessage software) {
            seenGroup = true;
            network.execute(() -> versionExchange.onRecorded(software));
        }
    }
}
