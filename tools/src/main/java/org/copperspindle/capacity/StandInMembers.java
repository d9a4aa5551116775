package org.copperspindle.capacity;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Simulates the members of a large fleet for the control members: each uses the production {@link ControlLink}, but all
 * share one ring and a few threads.
 */
final class StandInMembers implements AutoCloseable {

    /** Part of the names of the threads and of the member ids. */
    static final String ID = "stand-in";

    private static final int NETWORK_THREADS = 2;

    private final DecisionRing ring = new DecisionRing("decisions-" + ID, DecisionRing.DEFAULT_SLOTS);
    private final SystemTimerService timers = new SystemTimerService("timer-" + ID, ring);
    private final WireTransport transport = new WireTransport(
            NETWORK_THREADS, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "entry", ID, 1));
    private final List<WireTransport> identities = new ArrayList<>();
    private final List<ControlLink> links = new ArrayList<>();
    private final AtomicInteger heldLeases = new AtomicInteger();
    private final AtomicInteger atVersion = new AtomicInteger();
    private final AtomicLong highestVersion = new AtomicLong();

    /**
     * Starts the members.
     *
     * @param count    number of members
     * @param agents   whether each member announces an upstream, as agents do
     * @param controls addresses of the control members
     * @param renew    lease renewal interval
     */
    StandInMembers(int count, boolean agents, List<InetSocketAddress> controls, Duration renew) {
        for (int i = 0; i < count; i++) {
            String id = (agents ? "agent-" : "entry-") + ID + "-" + i;
            WireTransport identity =
                    transport.withGreeting(new GreetingMessage(GreetingMessage.PROTOCOL, "process", id, 1));
            identities.add(identity);
            Member member = new Member(id, agents);
            ControlLink link = new ControlLink(ring, timers, identity, controls, renew, member::request, member);
            member.link = link;
            links.add(link);
            ring.execute(link::start);
        }
    }

    int heldLeases() {
        return heldLeases.get();
    }

    /**
     * Returns the number of members at a configuration version.
     *
     * @param version the configuration version
     * @return number of members; 0 until the first member has received the version
     */
    int membersAt(long version) {
        return highestVersion.get() == version ? atVersion.get() : 0;
    }

    long transferredBytes() {
        return identities.stream()
                .mapToLong(t -> t.counters().bytesSent() + t.counters().bytesReceived())
                .sum();
    }

    long transferredMessages() {
        return identities.stream()
                .mapToLong(t -> t.counters().messagesSent() + t.counters().messagesReceived())
                .sum();
    }

    @Override
    public void close() {
        ring.execute(() -> links.forEach(ControlLink::stop));
        timers.close();
        transport.close();
        ring.close();
    }

    /** One member; its state is confined to the ring thread. */
    private final class Member implements ControlLinkListener {
        private final String id;
        private final boolean agent;
        private ControlLink link;
        private long version;
        private long revision;

        private Member(String id, boolean agent) {
            this.id = id;
            this.agent = agent;
        }

        private LeaseRequestMessage request() {
            byte[] announcement = agent
                    ? UpstreamAnnouncement.CODEC.encode(new UpstreamAnnouncement(
                            id, "engines", "north", new InetSocketAddress("127.0.0.1", 1), 1, 1, List.of("m"), false))
                    : new byte[0];
            return new LeaseRequestMessage(version, revision, announcement, false);
        }

        @Override
        public void onUpdate(ControlUpdateMessage update) {
            revision = Math.max(revision, update.membershipRevision());
            if (update.configVersion() > version) {
                version = update.configVersion();
                if (highestVersion.get() < version) {
                    highestVersion.set(version);
                    atVersion.set(0);
                }
                atVersion.incrementAndGet();
            }
            link.renewNow();
        }

        @Override
        public void onLease(boolean nowHeld) {
            heldLeases.addAndGet(nowHeld ? 1 : -1);
        }

        @Override
        public void onReply(WireMessage message) {
            // Claims are not part of this measurement.
        }
    }
}
