package org.copperspindle.agent;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.config.BackgroundDeploymentReader;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentReader;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.fleet.OrderHandler;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.Peer;
import org.copperspindle.wire.PeerListener;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * The agent of one upstream: performs the actions that its {@link AttemptTable} decides on, announces the upstream to
 * control, and reports its load to entries. Runs on the decision ring.
 */
public final class AgentService implements PeerListener, ControlLinkListener {

    private static final Logger LOGGER = LogManager.getLogger(AgentService.class);

    private final DecisionRing ring;
    private final TimerService timers;
    private final AgentSettings settings;
    private final InetSocketAddress address;
    private long incarnation;
    private final long clockOrigin;
    private final UpstreamClient client;
    private final AttemptRunner runner;
    private final UpstreamProbe probe;
    private final UpstreamHealth health = new UpstreamHealth();
    private final UpstreamLoad load = new UpstreamLoad();
    private final LoadReporter reporter = new LoadReporter();
    private final ControlLink control;
    private final AttemptTable attempts;
    private final OrderHandler orders;
    private final DeploymentReader reader;
    private long sequence = 1;
    private long configVersion;
    private long newestReceivedConfig;
    private boolean draining;
    private boolean stopped;
    private boolean waitingForAcks;
    private Optional<Runnable> onDrained = Optional.empty();
    private long tickAt = Long.MAX_VALUE;
    private TimerSubscription tick = () -> {};

    /**
     * Creates an agent.
     *
     * @param ring        decision ring that runs it
     * @param timers      timer service
     * @param transport   network
     * @param settings    its settings
     * @param controls    addresses of the control members
     * @param address     address for entries
     * @param incarnation incarnation of the process
     */
    public AgentService(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            AgentSettings settings,
            List<InetSocketAddress> controls,
            InetSocketAddress address,
            long incarnation) {
        this.ring = ring;
        this.timers = timers;
        this.settings = settings;
        this.reader = new BackgroundDeploymentReader(ring);
        this.address = address;
        this.incarnation = incarnation;
        this.clockOrigin = timers.nanoTime();
        this.attempts = new AttemptTable(settings.upstreamId(), incarnation, settings.limits());
        this.client = new UpstreamClient(settings.upstream(), settings.limits().concurrency());
        this.runner = new AttemptRunner(
                ring,
                timers,
                client,
                settings.refusalStatuses(),
                settings.limits().maxResponse(),
                this::onAttemptEnded);
        this.probe = new UpstreamProbe(
                ring, timers, client, settings.healthPath(), settings.healthInterval(), this::onProbeResult);
        this.control =
                new ControlLink(ring, timers, transport, controls, settings.renewInterval(), this::leaseRequest, this);
        this.orders = new OrderHandler(
                settings.upstreamId(),
                incarnation,
                settings.models(),
                timers,
                new EngineOrderCaller(ring, client),
                control::send,
                this::modelsChanged);
    }

    /** Starts to probe the upstream, to announce it and to report its load. */
    public void start() {
        perform(attempts.onRefusing(health.refusal(), clock()));
        probe.start();
        control.start();
        orders.start();
        timers.schedule(settings.reportInterval().toNanos(), this::reportLoad);
    }

    /**
     * Refuses new and queued work from now on, announces that the upstream is draining, and finishes when nothing is
     * running and either all outcomes are acknowledged or the wait for that has timed out.
     *
     * @param done run once drained
     */
    public void drain(Runnable done) {
        if (!draining) {
            draining = true;
            LOGGER.info(
                    "event=draining upstream={} running={} waiting={}",
                    settings.upstreamId(),
                    attempts.running(),
                    attempts.waiting());
            updateRefusal();
        }
        onDrained = Optional.of(done);
        finishDrainIfIdle();
    }

    /** Stops the agent and releases the lease. */
    public void stop() {
        stopped = true;
        probe.stop();
        orders.stop();
        control.send(new LeaseRequestMessage(configVersion, 0, new byte[0], true));
        control.stop();
    }

    /** Closes the connections to the upstream. */
    public void close() {
        client.close();
    }

    @Override
    public boolean onOpen(Peer peer) {
        LOGGER.debug("event=entry-connected entry={}", peer.greeting().processId());
        return true;
    }

    @Override
    public boolean onMessage(Peer peer, WireMessage message) {
        return ring.offer(() -> receive(peer, message));
    }

    @Override
    public boolean onClose(Peer peer) {
        // Attempts continue: their outcomes are kept for any entry that queries them.
        LOGGER.debug("event=entry-disconnected entry={}", peer.greeting().processId());
        return true;
    }

    @Override
    public void onUpdate(ControlUpdateMessage update) {
        long version = update.configVersion();
        if (version <= newestReceivedConfig) {
            return;
        }
        newestReceivedConfig = version;
        reader.read(version, update.configText(), read -> read.ifPresent(found -> putInForce(version, found)));
    }

    private void putInForce(long version, Deployment deployment) {
        if (version <= configVersion) {
            // Parsing may end out of order; an older version must not replace a newer one.
            return;
        }
        perform(attempts.onConfiguration(concurrency(deployment), longestDeadline(deployment), clock()));
        orders.onConfiguration(
                deployment.pool(settings.pool()).map(p -> p.checksFencing()).orElse(false));
        configVersion = version;
        control.renewNow();
    }

    @Override
    public void onNewerIncarnation(long known) {
        incarnation = known + 1;
        attempts.onIncarnation(incarnation);
        orders.onIncarnation(incarnation);
        // Entries that subscribed before would withhold orders for the new incarnation until the next report.
        reporter.publish(loadReport());
    }

    @Override
    public void onLease(boolean held) {
        LOGGER.info("event=lease upstream={} held={}", settings.upstreamId(), held);
    }

    @Override
    public void onTerm(long term) {
        orders.onTerm(term);
    }

    @Override
    public void onReply(WireMessage message) {
        if (orders.onMessage(message)) {
            return;
        }
        LOGGER.debug("event=unexpected-reply type={}", message.getClass().getSimpleName());
    }

    private void modelsChanged() {
        sequence++;
        control.renewNow();
    }

    private LeaseRequestMessage leaseRequest() {
        UpstreamAnnouncement announcement = new UpstreamAnnouncement(
                settings.upstreamId(),
                settings.pool(),
                settings.failureDomain(),
                address,
                incarnation,
                sequence,
                orders.models(),
                attempts.refusing());
        return new LeaseRequestMessage(configVersion, 0, UpstreamAnnouncement.CODEC.encode(announcement), false);
    }

    private void receive(Peer peer, WireMessage message) {
        long now = clock();
        if (message instanceof StampedOrderMessage order) {
            perform(attempts.onOrder(order, peer, now));
        } else if (message instanceof OutcomeQueryMessage query) {
            perform(attempts.onQuery(query, peer, now));
        } else if (message instanceof AttemptCancelMessage cancel) {
            perform(attempts.onCancel(cancel.attemptId(), now));
        } else if (message instanceof OutcomeAckMessage ack) {
            attempts.onAcknowledge(ack.attemptId());
            finishDrainIfIdle();
        } else if (message instanceof AttemptOrderMessage order) {
            // Every copy is refused the same way, so the verdict holds without a record.
            peer.send(AttemptOutcomeMessage.withoutAnswer(order.attemptId(), new NotRunVerdict("not-stamped")));
        } else if (message instanceof LoadSubscribeMessage) {
            reporter.subscribe(peer, loadReport());
        }
    }

    private void onAttemptEnded(ResponseRelay.RelayedResponse response) {
        long now = clock();
        load.onResponse(response.load(), now);
        if (response.neverConnected()) {
            onProbeResult(UpstreamHealth.ProbeResult.SILENT);
        }
        perform(attempts.onEnded(response.outcome(), response.passedOn(), now));
        LOGGER.debug(
                "event=attempt-ended attempt={} verdict={} reason=\"{}\" status={}",
                response.outcome().attemptId(),
                response.outcome().verdict().label(),
                response.outcome().verdict().reason(),
                response.outcome().status());
        finishDrainIfIdle();
    }

    private void onProbeResult(UpstreamHealth.ProbeResult result) {
        if (health.onProbe(result)) {
            LOGGER.info("event=upstream-health upstream={} state={}", settings.upstreamId(), health.state());
            updateRefusal();
        }
    }

    private void updateRefusal() {
        Optional<String> refusal = draining ? Optional.of("draining") : health.refusal();
        boolean before = attempts.refusing();
        perform(attempts.onRefusing(refusal, clock()));
        if (draining || before != attempts.refusing()) {
            // Connected entries are notified at once, the others through control.
            sequence++;
            reporter.publish(loadReport());
            control.renewNow();
        }
    }

    private void perform(List<AgentAction> actions) {
        for (AgentAction action : actions) {
            if (action instanceof AgentAction.Start start) {
                LOGGER.debug(
                        "event=attempt-started request={} attempt={}",
                        start.order().requestId(),
                        start.order().attemptId());
                runner.start(start.order(), start.from());
            } else if (action instanceof AgentAction.Send send) {
                send(send);
            } else if (action instanceof AgentAction.Abort abort) {
                LOGGER.info("event=attempt-aborted attempt={} reason={}", abort.attemptId(), abort.reason());
                runner.abort(abort.attemptId(), abort.reason());
            }
        }
        rescheduleTick();
    }

    private void send(AgentAction.Send send) {
        AttemptOutcomeMessage outcome = send.outcome();
        if (outcome.status() == 0) {
            LOGGER.info(
                    "event=attempt-not-answered attempt={} verdict={} reason=\"{}\"",
                    outcome.attemptId(),
                    outcome.verdict().label(),
                    outcome.verdict().reason());
        }
        send.to().send(outcome.withLoad(attempts.running() + attempts.waiting(), load.value(clock())));
    }

    /** Keeps a single timer, set to the earliest time at which the table has something to do. */
    private void rescheduleTick() {
        long due = attempts.nextDue().orElse(Long.MAX_VALUE);
        if (due >= tickAt) {
            return;
        }
        tick.cancel();
        tickAt = due;
        tick = timers.schedule((due - clock()) * 1000, () -> {
            tickAt = Long.MAX_VALUE;
            perform(attempts.onTick(clock()));
            finishDrainIfIdle();
        });
    }

    private void reportLoad() {
        if (stopped) {
            return;
        }
        reporter.report(loadReport());
        timers.schedule(settings.reportInterval().toNanos(), this::reportLoad);
    }

    private LoadReportMessage loadReport() {
        long now = clock();
        return new LoadReportMessage(
                settings.upstreamId(),
                0,
                attempts.running(),
                load.value(now),
                incarnation,
                now,
                attempts.waiting(),
                load.ageMillis(now),
                attempts.refusing());
    }

    private void finishDrainIfIdle() {
        if (onDrained.isEmpty() || attempts.running() > 0) {
            return;
        }
        if (attempts.unacknowledged() == 0) {
            finishDrain();
        } else if (!waitingForAcks) {
            waitingForAcks = true;
            timers.schedule(settings.limits().drainWait().toNanos(), this::finishDrain);
        }
    }

    private void finishDrain() {
        Optional<Runnable> done = onDrained;
        onDrained = Optional.empty();
        if (done.isPresent()) {
            LOGGER.info(
                    "event=drained upstream={} unacknowledged={}", settings.upstreamId(), attempts.unacknowledged());
            done.get().run();
        }
    }

    private int concurrency(Deployment deployment) {
        return deployment
                .pool(settings.pool())
                .map(pool -> pool.concurrency())
                .filter(c -> c > 0)
                .orElse(settings.limits().concurrency());
    }

    private static long longestDeadline(Deployment deployment) {
        return deployment.accounts().values().stream()
                .map(account -> account.maxDeadline())
                .max(Duration::compareTo)
                .map(longest -> longest.toNanos() / 1000)
                .orElse(0L);
    }

    /** Returns this incarnation's clock in microseconds. It is always above 0, because 0 means no reading. */
    private long clock() {
        return (timers.nanoTime() - clockOrigin) / 1000 + 1;
    }
}
