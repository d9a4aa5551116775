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
 * A running process with the roles given in its settings; the main class of the library. {@link #start} starts it,
 * and {@link #stop} stops it without interrupting requests.
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
    private Optional<HttpListener> probeListener = Optional.empty();
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
        RoleRouter roleRouter = new RoleRouter();
        this.wireChannel = transport.listen(settings.listen(), roleRouter);
        ProcessContext context =
                new ProcessContext(settings, ring, timers, transport, metrics, wireAddress(), incarnation);
        try {
            addRoles(context, roleRouter);
            probeListener = settings.metricsListen().map(this::openProbeListener);
        } catch (RuntimeException e) {
            // The network threads would keep the process running without roles.
            kill();
            throw e;
        }
        ProcessMetrics.publish(metrics, ring);
        ProcessMetrics.publish(metrics, transport.counters());
        metrics.gauge("ready", "1 while every role of the process serves", this, p -> p.ready() ? 1 : 0);
        LOGGER.info("event=started process={} wire={}", settings.id(), wireAddress());
    }

    private HttpListener openProbeListener(InetSocketAddress address) {
        ProbeEndpoint endpoint = new ProbeEndpoint(this::ready, metrics::scrape, ProbeEndpoint.notFound());
        return new HttpListener(address, 1, HttpLimits.DEFAULT, endpoint);
    }

    private void addRoles(ProcessContext context, RoleRouter roleRouter) {
        // Roles stop in this order: an entry finishes its requests before an agent or control role of the same
        // process stops.
        entry = settings.entry().map(e -> new EntryRole(context, e));
        entry.ifPresent(roles::add);
        settings.agent().ifPresent(a -> roles.add(new AgentRole(context, a)));
        control = settings.control().map(c -> new ControlRole(context, c));
        control.ifPresent(roles::add);
        roles.forEach(roleRouter::add);
        roles.forEach(ProcessRole::start);
    }

    /**
     * Creates the incarnation of this process from the time of day, so that it is normally larger after each
     * restart. If the clock was set back, control reports the newest incarnation that it knows and the member takes
     * a larger one. The random bits distinguish two incarnations of the same millisecond.
     */
    private static long newIncarnation() {
        long random = ThreadLocalRandom.current().nextLong(1L << INCARNATION_RANDOM_BITS);
        return System.currentTimeMillis() << INCARNATION_RANDOM_BITS | random;
    }

    /**
     * Starts a process.
     *
     * @param settings settings of the process
     * @return the running process
     */
    public static CopperspindleProcess start(ProcessSettings settings) {
        return new CopperspindleProcess(settings);
    }

    /**
     * Returns the address at which other processes reach this one.
     *
     * @return the bound address
     */
    public InetSocketAddress wireAddress() {
        return (InetSocketAddress) wireChannel.localAddress();
    }

    /**
     * Returns the address at which callers reach the entry.
     *
     * @return the bound address, if the process has that role
     */
    public Optional<InetSocketAddress> callerAddress() {
        return entry.flatMap(ProcessRole::httpAddress);
    }

    /**
     * Returns the address at which operators reach the control member.
     *
     * @return the bound address, if the process has that role
     */
    public Optional<InetSocketAddress> operatorAddress() {
        return control.flatMap(ProcessRole::httpAddress);
    }

    /**
     * Returns the separate address for probes and metrics.
     *
     * @return the bound address, if the settings give one
     */
    public Optional<InetSocketAddress> metricsAddress() {
        return probeListener.map(HttpListener::address);
    }

    /**
     * Returns whether the process is serving.
     *
     * @return false while it is starting, isolated or stopping
     */
    public boolean ready() {
        return roles.stream().allMatch(ProcessRole::ready);
    }

    /**
     * Stops gracefully and returns when nothing is in progress.
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

    /** Closes everything immediately, like a crash; for tests and the demo. */
    public void kill() {
        // The decision ring is closed before the resources that it uses: a decision still running would fail on
        // closed network threads.
        timers.close();
        ring.close();
        roles.forEach(ProcessRole::close);
        probeListener.ifPresent(HttpListener::close);
        transport.close();
        metrics.close();
    }

    private static void stopNext(Iterator<ProcessRole> remaining, Runnable done) {
        if (remaining.hasNext()) {
            remaining.next().stop(() -> stopNext(remaining, done));
        } else {
            done.run();
        }
    }

    /**
     * Routes incoming messages to the role that handles them; messages that no role handles, as from a newer peer,
     * are ignored.
     */
    private static final class RoleRouter implements PeerListener {
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
