package org.copperspindle.daemon;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.Channel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.agent.AgentService;
import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimSettleMessage;
import org.copperspindle.control.ControlDoor;
import org.copperspindle.control.ControlService;
import org.copperspindle.control.ControlState;
import org.copperspindle.control.LocalLog;
import org.copperspindle.control.NotLeaderMessage;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.entry.EntryDoor;
import org.copperspindle.entry.EntryService;
import org.copperspindle.http.HttpLimits;
import org.copperspindle.http.HttpListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseGrantMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.SystemTimerService;
import org.copperspindle.wire.GreetingMessage;
import org.copperspindle.wire.MessageRegistry;
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

    private final ProcessSettings settings;
    private final DecisionRing ring;
    private final SystemTimerService timers;
    private final WireTransport transport;
    private final Channel wireChannel;
    private Optional<HttpListener> callerListener = Optional.empty();
    private Optional<HttpListener> operatorListener = Optional.empty();
    private Optional<EntryService> entry = Optional.empty();
    private Optional<AgentService> agent = Optional.empty();
    private Optional<ControlService> control = Optional.empty();

    private CopperspindleProcess(ProcessSettings settings) {
        this.settings = settings;
        this.ring = new DecisionRing("decisions-" + settings.id(), DecisionRing.DEFAULT_SLOTS);
        this.timers = new SystemTimerService(ring);
        long incarnation = System.currentTimeMillis();
        GreetingMessage greeting = new GreetingMessage(GreetingMessage.PROTOCOL, "process", settings.id(), incarnation);
        this.transport = new WireTransport(NETWORK_THREADS, messages(), greeting);
        this.wireChannel = transport.listen(settings.listen(), new RoleSwitch());
        settings.control().ifPresent(this::startControl);
        settings.agent().ifPresent(a -> {
            AgentService service =
                    new AgentService(ring, timers, transport, a, settings.controls(), wireAddress(), incarnation);
            agent = Optional.of(service);
            ring.execute(service::start);
        });
        settings.entry().ifPresent(e -> {
            EntryService service = new EntryService(ring, timers, transport, e, settings.controls());
            entry = Optional.of(service);
            ring.execute(service::start);
            callerListener = Optional.of(
                    new HttpListener(e.listen(), NETWORK_THREADS, HttpLimits.DEFAULT, new EntryDoor(service)));
        });
        LOGGER.info("event=started process={} wire={}", settings.id(), wireAddress());
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
     * Returns the messages of the system's own protocol.
     *
     * @return a registry that knows all of them
     */
    public static MessageRegistry messages() {
        return WireTransport.registry()
                .register(UpstreamAnnouncement.CODEC)
                .register(LeaseRequestMessage.CODEC)
                .register(LeaseGrantMessage.CODEC)
                .register(ControlUpdateMessage.CODEC)
                .register(NotLeaderMessage.CODEC)
                .register(ClaimRequestMessage.CODEC)
                .register(ClaimReplyMessage.CODEC)
                .register(ClaimSettleMessage.CODEC)
                .register(AttemptOrderMessage.CODEC)
                .register(AttemptCancelMessage.CODEC)
                .register(AttemptChunkMessage.CODEC)
                .register(AttemptOutcomeMessage.CODEC)
                .register(OutcomeAckMessage.CODEC)
                .register(OutcomeQueryMessage.CODEC)
                .register(LoadReportMessage.CODEC);
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
        return callerListener.map(HttpListener::address);
    }

    /**
     * Returns where operators reach the control member.
     *
     * @return the bound address, if the process has that role
     */
    public Optional<InetSocketAddress> operatorAddress() {
        return operatorListener.map(HttpListener::address);
    }

    /**
     * Says whether the process serves.
     *
     * @return false while starting, cut off or stopping
     */
    public boolean ready() {
        return entry.map(EntryService::ready).orElse(true);
    }

    /**
     * Stops gracefully and returns when nothing is in progress any more.
     *
     * @throws InterruptedException if the wait is interrupted
     */
    public void stop() throws InterruptedException {
        LOGGER.info("event=stopping process={}", settings.id());
        CountDownLatch idle = new CountDownLatch(1);
        ring.execute(() -> stopEntry(() -> stopAgent(idle::countDown)));
        idle.await();
        kill();
        LOGGER.info("event=stopped process={}", settings.id());
    }

    /** Ends at once, as a crash would; for tests and the demo. */
    public void kill() {
        callerListener.ifPresent(HttpListener::close);
        operatorListener.ifPresent(HttpListener::close);
        timers.close();
        transport.close();
        ring.close();
    }

    private void stopEntry(Runnable next) {
        if (entry.isPresent()) {
            entry.get().stop(next);
        } else {
            next.run();
        }
    }

    private void stopAgent(Runnable next) {
        if (agent.isEmpty()) {
            next.run();
            return;
        }
        agent.get().drain(() -> {
            agent.get().stop();
            next.run();
        });
    }

    private void startControl(ProcessSettings.ControlSettings c) {
        ControlState state = new ControlState();
        ControlService service = new ControlService(ring, timers, new LocalLog(state), state, c.lease());
        control = Optional.of(service);
        ring.execute(service::start);
        operatorListener =
                Optional.of(new HttpListener(c.listen(), 1, HttpLimits.DEFAULT, new ControlDoor(ring, service)));
    }

    /** Gives incoming messages to the role that they are for. */
    private final class RoleSwitch implements PeerListener {

        @Override
        public void onOpen(Peer peer) {
            LOGGER.debug("event=peer-connected peer={}", peer.greeting().processId());
        }

        @Override
        public boolean onMessage(Peer peer, WireMessage message) {
            Optional<? extends PeerListener> role = isForAgent(message) ? agent : control;
            return role.map(r -> r.onMessage(peer, message)).orElse(true);
        }

        @Override
        public void onClose(Peer peer) {
            LOGGER.debug("event=peer-disconnected peer={}", peer.greeting().processId());
        }

        private static boolean isForAgent(WireMessage message) {
            return message instanceof AttemptOrderMessage
                    || message instanceof AttemptCancelMessage
                    || message instanceof OutcomeAckMessage
                    || message instanceof OutcomeQueryMessage;
        }
    }
}
