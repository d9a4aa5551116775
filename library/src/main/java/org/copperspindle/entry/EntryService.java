package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.claims.ClaimClient;
import org.copperspindle.config.BackgroundDeploymentReader;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.limits.EntryPolicyFactory;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.measure.EntryMetrics;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.FleetView;
import org.copperspindle.time.TimerService;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * One entry: joins the deployment, accepts requests while it holds its lease, and shuts down without interrupting a
 * running one. Runs on the decision ring except for {@link #offer}, {@link #callerLeft} and {@link #ready}.
 */
public final class EntryService implements ControlLinkListener {

    private static final Logger LOGGER = LogManager.getLogger(EntryService.class);
    private static final long IDLE_CHECK_NANOS = Duration.ofMillis(20).toNanos();
    private static final long STOP_TIMEOUT_NANOS = Duration.ofSeconds(90).toNanos();

    private final DecisionRing ring;
    private final TimerService timers;
    private final WireTransport transport;
    private final EntrySettings settings;
    private final ControlLink control;
    private final AgentLinks agents;
    private final ClaimClient claims;
    private final RequestDriver driver;
    private final RequestAdmission admission;
    private final EntryPolicy policy;
    private final EntryMetrics measures;
    private final DeploymentView deployment;
    private final FleetView fleet = new FleetView();
    private boolean refusing;
    private double rateShare;
    private volatile boolean stopping;
    private volatile boolean ready;
    private volatile boolean leaseHeld;
    private volatile long configVersion;

    /**
     * Creates an entry.
     *
     * @param ring      decision ring that runs it
     * @param timers    timer service
     * @param transport network
     * @param settings  its settings
     * @param controls  addresses of the control members
     * @param measures  receives the results of requests
     */
    public EntryService(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            EntrySettings settings,
            List<InetSocketAddress> controls,
            EntryMetrics measures) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.settings = settings;
        this.deployment = new DeploymentView(new BackgroundDeploymentReader(ring), this::onConfigInForce);
        this.measures = measures;
        this.policy = EntryPolicyFactory.of(
                PolicyKind.ADAPTIVE,
                fleet,
                settings.maxInProgress(),
                settings.listen().hashCode());
        this.control =
                new ControlLink(ring, timers, transport, controls, settings.renewInterval(), this::leaseRequest, this);
        this.claims = new ClaimClient(timers, control::send);
        ForwardingListener agentListener = new ForwardingListener();
        this.agents = new AgentLinks(ring, timers, transport, agentListener);
        this.driver = new RequestDriver(timers, agents, claims, fleet, policy, measures);
        agentListener.delegate = driver;
        this.admission = new RequestAdmission(deployment, policy);
    }

    /** Joins the deployment. */
    public void start() {
        control.start();
        agents.start();
    }

    /**
     * Hands a request from a network thread over to the decision ring.
     *
     * @param request what the caller sent
     * @param sink    receives the response
     * @return the identity of the request; empty if the ring is full, in which case the request was not run
     */
    public Optional<String> offer(CallerRequest request, AnswerSink sink) {
        String requestId = UUID.randomUUID().toString();
        return ring.offer(() -> admit(requestId, request, sink)) ? Optional.of(requestId) : Optional.empty();
    }

    /**
     * Records that a caller disconnected. Called on a network thread, which is not blocked while the ring is full.
     *
     * @param requestId identity of its request
     */
    public void callerLeft(String requestId) {
        // If this were dropped at a full ring, the request would run until its deadline and use capacity just when it
        // is scarce.
        ring.offerWithRetry(() -> driver.callerLeft(requestId), transport.scheduler());
    }

    /**
     * Returns whether the entry serves: it holds its lease and has the newest configuration in force.
     *
     * @return false while starting, isolated from control or stopping
     */
    public boolean ready() {
        return ready;
    }

    /**
     * Returns whether the entry holds its lease.
     *
     * @return false while it admits nothing
     */
    public boolean leaseHeld() {
        return leaseHeld;
    }

    /**
     * Returns the version of the configuration that is in force here.
     *
     * @return 0 before the first one
     */
    public long configVersion() {
        return configVersion;
    }

    /**
     * Returns the counters of the entry other than those of its responses.
     *
     * @return the counters
     */
    public EntryCounters counters() {
        return driver.counters();
    }

    /**
     * Stops without interrupting a request: turns readiness off, waits for the load balancer, refuses new requests,
     * finishes the running ones, settles and acknowledges their outcomes, and releases the lease.
     *
     * @param done run once stopped
     */
    public void stop(Runnable done) {
        stopping = true;
        ready = false;
        LOGGER.info("event=entry-stopping in-progress={}", driver.inProgress());
        timers.schedule(settings.stopDelay().toNanos(), () -> {
            refusing = true;
            awaitIdle(done, timers.nanoTime() + STOP_TIMEOUT_NANOS);
        });
    }

    @Override
    public void onUpdate(ControlUpdateMessage update) {
        deployment.update(update);
        fleet.update(update);
        control.renewNow();
    }

    @Override
    public void onLease(boolean held) {
        // Without the lease nothing new is admitted; running requests continue under the configuration they were
        // admitted under.
        LOGGER.info("event=lease held={} version={} in-progress={}", held, deployment.version(), driver.inProgress());
        updateReady();
    }

    @Override
    public void onRateShare(double fraction) {
        if (fraction != rateShare) {
            LOGGER.info("event=rate-share fraction={}", fraction);
            rateShare = fraction;
            policy.setRateShare(fraction, timers.nanoTime());
            updateReady();
        }
    }

    @Override
    public void onReply(WireMessage message) {
        claims.onReply(message);
    }

    /** Reports a version only once it is in force; reported earlier, operators would rely on it too soon. */
    private void onConfigInForce() {
        policy.configure(deployment.deployment());
        updateReady();
        control.renewNow();
    }

    private void updateReady() {
        leaseHeld = control.isLeaseHeld();
        configVersion = deployment.version();
        ready = control.isLeaseHeld() && deployment.version() > 0 && rateShare > 0 && !stopping;
    }

    private void awaitIdle(Runnable done, long until) {
        boolean idle = driver.inProgress() == 0 && claims.pending() == 0;
        if (!idle && timers.nanoTime() < until) {
            timers.schedule(IDLE_CHECK_NANOS, () -> awaitIdle(done, until));
            return;
        }
        if (!idle) {
            // Control did not acknowledge these settlements: their claims stay held, so nothing runs a second time.
            LOGGER.warn("event=stop-unfinished requests={} claims={}", driver.inProgress(), claims.pending());
        }
        control.send(new LeaseRequestMessage(deployment.version(), fleet.revision(), new byte[0], true));
        control.stop();
        done.run();
    }

    private LeaseRequestMessage leaseRequest() {
        return new LeaseRequestMessage(deployment.version(), fleet.revision(), new byte[0], false);
    }

    private void admit(String requestId, CallerRequest request, AnswerSink sink) {
        AdmissionResult result =
                serves() ? admission.admit(requestId, request, timers.nanoTime()) : admission.notServing(request);
        if (result instanceof AdmissionResult.Admitted admitted) {
            run(admitted.request(), sink);
        } else if (result instanceof AdmissionResult.Refused refused) {
            LOGGER.info(
                    "event=refused request={} reason={}",
                    requestId,
                    refused.answer().verdict().reason());
            if (!(refused.answer().verdict() instanceof NotRunVerdict)) {
                // The sink itself counts NOT_RUN refusals. This request did not run either, but an earlier one with its
                // key may have.
                measures.refused(refused.answer().verdict().reason());
            }
            sink.end(requestId, refused.answer());
        }
    }

    private boolean serves() {
        return !refusing && control.isLeaseHeld() && deployment.version() > 0 && rateShare > 0;
    }

    private void run(PipelineRequest request, AnswerSink sink) {
        LOGGER.debug(
                "event=admitted request={} account={} pipeline={} version={}",
                request.requestId(),
                request.account().name(),
                request.pipeline().name(),
                deployment.version());
        RunChooser chooser = new RunChooser(deployment, settings.failureDomain(), request, policy, timers, agents);
        driver.open(request, chooser, sink);
    }

    /** Forwards to the driver, which is created after the links because it needs them. */
    private static final class ForwardingListener implements AgentListener {
        private AgentListener delegate;

        @Override
        public void onMessage(InetSocketAddress agent, WireMessage message) {
            delegate.onMessage(agent, message);
        }

        @Override
        public void onNotSent(WireMessage message) {
            delegate.onNotSent(message);
        }

        @Override
        public void onLinkLost(InetSocketAddress agent) {
            delegate.onLinkLost(agent);
        }
    }
}
