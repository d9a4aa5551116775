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
 * Many members with the product's own {@link ControlLink}, on one ring and few threads: what control sees of a fleet.
 */
final class StandInMembers implements AutoCloseable {

    /** Identity that the stand-ins' threads carry in their names. */
    static final String ID = "stand-in";

    private static final int NETWORK_THREADS = 2;

    private final DecisionRing ring = new DecisionRing("decisions-" + ID, DecisionRing.DEFAULT_SLOTS);
    private final SystemTimerService timers = new SystemTimerService("timer-" + ID, ring);
    private final WireTransport transport = new WireTransport(
            NETWORK_THREADS, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "entry", ID, 1));
    private final List<WireTransport> identities = new ArrayList<>();
    private final List<ControlLink> links = new ArrayList<>();
    private final AtomicInteger held = new AtomicInteger();
    private final AtomicInteger atVersion = new AtomicInteger();
    private final AtomicLong highestVersion = new AtomicLong();

    /**
     * Starts members.
     *
     * @param count    how many
     * @param agents   whether they announce an upstream each, as agents do
     * @param controls addresses of the control members
     * @param renew    interval of renewals
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

    int held() {
        return held.get();
    }

    /**
     * Counts members that have a version in force.
     *
     * @param version the version
     * @return how many, 0 until the first has it
     */
    int at(long version) {
        return highestVersion.get() == version ? atVersion.get() : 0;
    }

    long bytes() {
        return identities.stream()
                .mapToLong(t -> t.counters().bytesSent() + t.counters().bytesReceived())
                .sum();
    }

    long messages() {
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

    /** One member; lives on the ring. */
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
            held.addAndGet(nowHeld ? 1 : -1);
        }

        @Override
        public void onReply(WireMessage message) {
            // claims are measured elsewhere
        }
    }
}
