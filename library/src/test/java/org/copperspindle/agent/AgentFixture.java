package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

import io.netty.channel.Channel;
import org.copperspindle.config.Priority;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.daemon.MessageCatalog;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/** One agent with one upstream, and entries that are only connections. */
final class AgentFixture implements AutoCloseable {

    static final AgentLimits LIMITS = new AgentLimits(
            4,
            8,
            1000,
            256 << 20,
            48 << 20,
            Duration.ofMinutes(2),
            Duration.ofMinutes(1),
            Duration.ofMinutes(1),
            Duration.ofSeconds(30),
            Duration.ofSeconds(30));
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    /** An address at which nothing listens: these tests need no control. */
    private static final InetSocketAddress NO_CONTROL = new InetSocketAddress("127.0.0.1", 1);

    private static final long TIMEOUT_SECONDS = 20;

    private final long incarnation;
    private final DecisionRing ring;
    private final SystemTimerService timers;
    private final WireTransport transport;
    private final AgentService service;
    private final InetSocketAddress address;
    private final List<Entry> entries = new ArrayList<>();

    AgentFixture(SocketUpstream upstream, long incarnation, AgentLimits limits, String healthPath) {
        this.incarnation = incarnation;
        ring = new DecisionRing("agent-test", 4);
        timers = new SystemTimerService("timer-agent-test", ring);
        transport = transport("agent");
        AgentSettings settings = new AgentSettings(
                "up-1",
                "pool",
                "north",
                upstream.address(),
                List.of(),
                Duration.ofSeconds(1),
                healthPath,
                Duration.ofMillis(20),
                Duration.ofMillis(50),
                Set.of(429),
                limits);
        service = new AgentService(ring, timers, transport, settings, List.of(NO_CONTROL), ANY, incarnation);
        address = (InetSocketAddress) transport.listen(ANY, service).localAddress();
        ring.execute(service::start);
    }

    AgentFixture(SocketUpstream upstream) {
        this(upstream, 7, LIMITS, "");
    }

    /** Connects an entry and waits until the agent reports that it accepts work. */
    Entry entry() throws InterruptedException {
        Entry entry = new Entry();
        entries.add(entry);
        entry.channel = entry.transport.connect(address, entry).join();
        entry.awaitReport(false);
        return entry;
    }

    CountDownLatch drain() {
        CountDownLatch done = new CountDownLatch(1);
        ring.execute(() -> service.drain(done::countDown));
        return done;
    }

    DecisionRing ring() {
        return ring;
    }

    @Override
    public void close() {
        ring.execute(service::stop);
        service.close();
        timers.close();
        transport.close();
        ring.close();
        entries.forEach(entry -> entry.transport.close());
    }

    private static WireTransport transport(String id) {
        return new WireTransport(
                1, MessageCatalog.registry(), new GreetingMessage(GreetingMessage.PROTOCOL, "process", id, 1));
    }

    /** One entry as the agent sees it: a connection, and the messages received on it. */
    final class Entry implements PeerListener {
        private final WireTransport transport = transport("entry");
        private final List<WireMessage> received = new ArrayList<>();
        private Channel channel;
        private Peer peer;
        private AgentClock clock;

        StampedOrderMessage order(String id, boolean repeatable) {
            return order(id, repeatable, false, Duration.ofSeconds(60));
        }

        /** Creates a stamped order without sending it. */
        StampedOrderMessage order(String id, boolean repeatable, boolean streaming, Duration timeLeft) {
            AttemptOrderMessage order = new AttemptOrderMessage(
                    id,
                    "r-" + id,
                    "up-1",
                    incarnation,
                    "/call",
                    new byte[] {'{', '}'},
                    streaming,
                    repeatable,
                    Priority.STANDARD,
                    timeLeft.toNanos() / 1000,
                    1);
            long now = timers.nanoTime();
            return clock.stamp(order, now, now).orElseThrow();
        }

        void send(WireMessage message) {
            peer.send(message);
        }

        void query(String id, long agentIncarnation) {
            send(new OutcomeQueryMessage(id, agentIncarnation, clock.readingMicros(), true));
        }

        AttemptOutcomeMessage outcome(String id) throws InterruptedException {
            return (AttemptOutcomeMessage) take(m -> m instanceof AttemptOutcomeMessage outcome
                    && outcome.attemptId().equals(id));
        }

        /** Waits for a report with the given state, discarding reports before it. */
        void awaitReport(boolean refusing) throws InterruptedException {
            LoadReportMessage report;
            do {
                report = (LoadReportMessage) take(LoadReportMessage.class::isInstance);
            } while (report.refusing() != refusing);
            clock = AgentClock.of(report, timers.nanoTime());
        }

        /** Waits for the first message that matches and removes it; others stay queued. */
        synchronized WireMessage take(Predicate<WireMessage> kind) throws InterruptedException {
            long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
            while (System.nanoTime() < end) {
                for (WireMessage message : received) {
                    if (kind.test(message)) {
                        received.remove(message);
                        return message;
                    }
                }
                wait(100);
            }
            throw new AssertionError("no such message within " + TIMEOUT_SECONDS + " s");
        }

        /** Pauses or resumes reading from the connection. */
        void read(boolean on) {
            channel.config().setAutoRead(on);
        }

        void disconnect() {
            channel.close().awaitUninterruptibly();
        }

        @Override
        public boolean onOpen(Peer opened) {
            peer = opened;
            opened.send(new LoadSubscribeMessage());
            return true;
        }

        @Override
        public synchronized boolean onMessage(Peer from, WireMessage message) {
            received.add(message);
            notifyAll();
            return true;
        }

        @Override
        public boolean onClose(Peer closed) {
            return true;
        }
    }
}
