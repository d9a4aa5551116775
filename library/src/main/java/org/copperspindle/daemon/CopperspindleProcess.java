package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.measure.MetricsRegistry;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One running process with the roles that its settings name. The door of the library: {@link #start} opens it,
 * {@link #stop} ends it without cutting a request off.
 */
public final class CopperspindleProcess {

    private static final Logger LOGGER = LogManager.getLogger(CopperspindleProcess.class);
    private static final int NETWORK_THREADS = 2;
    private static final int INCARNATION_RANDOM_BITS = 20;

    private final ProcessSettings settings;
    private final DecisionRing ring;
    private final SystemTimerService timers;
    private final WireTransport transport;
    private final MetricsRegistry metrics = new MetricsRegistry();
    private final Channel wireChannel;
    private Optional<HttpListener> probes = Optional.empty();
    private final List<ProcessRole> roles = new ArrayList<>();
    private Optional<ProcessRole> entry = Optional.empty();
    private Optional<ProcessRole> control = Optional.empty();

    private CopperspindleProcess(ProcessSettings settings) {
        this.settings = settings;
        this.ring = new DecisionRing("decisions-" + settings.id(), DecisionRing.DEFAULT_SLOTS);
        this.timers = new SystemTimerService("timer-" + settings.id(), ring);
        long incarnation = newIncarnation();
        GreetingMessage greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "process", settings.id(), incarnation);
        this.transport = new WireTransport(NETWORK_THREADS, MessageCatalog.registry(), greeting);
        RoleSwitch roleSwitch = new RoleSwitch();
        this.wireChannel = transport.listen(settings.listen(), roleSwitch);
        ProcessContext context =
                new ProcessContext(settings, ring, timers, transport, metrics, wireAddress(), incarnation);
        try {
            addRoles(context, roleSwitch);
            probes = settings.metricsListen().map(this::openProbes);
        } catch (RuntimeException e) {
            // Network threads would keep a process alive that has no roles.
            kill();
            throw e;
        }
        ProcessMetrics.publish(metrics, ring);
        ProcessMetrics.publish(metrics, transport.counters());
        metrics.gauge("ready", "1 while every role of the process serves", this, p -> p.ready() ? 1 : 0);
        LOGGER.info("event=started process={} wire={}", settings.id(), wireAddress());
    }

    private HttpListener openProbes(InetSocketAddress address) {
        ProbeDoor door = new ProbeDoor(this::ready, metrics::scrape, ProbeDoor.nothing());
        return new HttpListener(address, 1, HttpLimits.DEFAULT, door);
    }

    private void addRoles(ProcessContext context, RoleSwitch roleSwitch) {
        // Stopped in this order: an entry finishes its requests before the agent or control beside it goes.
        entry = settings.entry().map(e -> new EntryRole(context, e));
        entry.ifPresent(roles::add);
        settings.agent().ifPresent(a -> roles.add(new AgentRole(context, a)));
        control = settings.control().map(c -> new ControlRole(context, c));
        control.ifPresent(roles::add);
        roles.forEach(roleSwitch::add);
        roles.forEach(ProcessRole::start);
    }

    /**
     * Draws the number of this life. Normally larger for each restart; where the clock was set back, control names the
     * newest life that it knows and the member takes a larger number. The random part keeps two lives of the same
     * millisecond apart.
     */
    private static long newIncarnation() {
        long random = ThreadLocalRandom.current().nextLong(1L << INCARNATION_RANDOM_BITS);
        return System.currentTimeMillis() << INCARNATION_RANDOM_BITS | random;
    }

    /**
     * Starts a process.
     *
     * @param settings its settings
     * @return the running process
     */
    public static CopperspindleProcess start(ProcessSettings settings) {
        return new CopperspindleProcess(settings);
    }

    /**
     * Returns where other processes reach this one.
     *
     * @return the bound address
     */
    public InetSocketAddress wireAddress() {
        return (InetSocketAddress) wireChannel.localAddress();
    }

    /**
     * Returns where callers reach the entry.
     *
     * @return the bound address, if the process has that role
     */
    public Optional<InetSocketAddress> callerAddress() {
        return entry.flatMap(ProcessRole::httpAddress);
    }

    /**
     * Returns where operators reach the control member.
     *
     * @return the bound address, if the process has that role
     */
    public Optional<InetSocketAddress> operatorAddress() {
        return control.flatMap(ProcessRole::httpAddress);
    }

    /**
     * Returns where probes and metrics are, besides the addresses of callers and operators.
     *
     * @return the bound address, if the settings name one
     */
    public Optional<InetSocketAddress> metricsAddress() {
        return probes.map(HttpListener::address);
    }

    /**
     * Says whether the process serves.
     *
     * @return false while starting, cut off or stopping
     */
    public boolean ready() {
        return roles.stream().allMatch(ProcessRole::ready);
    }

    /**
     * Stops gracefully and returns when nothing is in progress any more.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void stop() throws InterruptedException {
        LOGGER.info("event=stopping process={}", settings.id());
        CountDownLatch idle = new CountDownLatch(1);
        ring.execute(() -> stopNext(roles.iterator(), idle::countDown));
        idle.await();
        kill();
        LOGGER.info("event=stopped process={}", settings.id());
    }

    /** Ends at once, as a crash would; for tests and the demo. */
    public void kill() {
        // Decisions end before what they use is closed: one that still ran would fail on closed network threads.
        timers.close();
        ring.close();
        roles.forEach(ProcessRole::close);
        probes.ifPresent(HttpListener::close);
        transport.close();
        metrics.close();
    }

    private static void stopNext(Iterator<ProcessRole> left, Runnable done) {
        if (left.hasNext()) {
            left.next().stop(() -> stopNext(left, done));
        } else {
            done.run();
        }
    }

    /** Gives incoming messages to the role that they are for; others, as from a newer peer, are skipped. */
    private static final class RoleSwitch implements PeerListener {
        private final Map<Class<?>, PeerListener> listeners = new ConcurrentHashMap<>();

        private void add(ProcessRole role) {
            role.messages().forEach(message -> listeners.put(message, role.listener()));
        }

        @Override
        public boolean onOpen(Peer peer) {
            LOGGER.debug("event=peer-connected peer={}", peer.greeting().processId());
            return true;
        }

        @Override
        public boolean onMessage(Peer peer, WireMessage message) {
            PeerListener listener = listeners.get(message.getClass());
            return listener == null || listener.onMessage(peer, message);
        }

        @Override
        public boolean onClose(Peer peer) {
            LOGGER.debug("event=peer-disconnected peer={}", peer.greeting().processId());
            return true;
        }
    }
}
