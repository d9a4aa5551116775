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
import org.copperspindle.measure.EntryMeasures;
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
 * One entry: joins the deployment, takes requests on while it may, and leaves without cutting one off. Runs on the
 * decision ring but for {@link #offer}, {@link #callerLeft} and {@link #ready}.
 */
public final class EntryService implements ControlLinkListener {

    private static final Logger LOGGER = LogManager.getLogger(EntryService.class);
    private static final long IDLE_CHECK_NANOS = Duration.ofMillis(20).toNanos();
    private static final long STOP_PATIENCE_NANOS = Duration.ofSeconds(90).toNanos();

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
    private final EntryMeasures measures;
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
     * @param ring      decision ring that owns it
     * @param timers    time
     * @param transport network
     * @param settings  its settings
     * @param controls  addresses of the control members
     * @param measures  told how requests end
     */
    public EntryService(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            EntrySettings settings,
            List<InetSocketAddress> controls,
            EntryMeasures measures) {
        this.ring = ring;
        this.timers = timers;
        this.transport = transport;
        this.settings = settings;
        this.deployment = new DeploymentView(new BackgroundDeploymentReader(ring), this::configInForce);
        this.measures = measures;
        this.policy = EntryPolicyFactory.of(
                PolicyKind.ADAPTIVE,
                fleet,
                settings.maxInProgress(),
                settings.listen().hashCode());
        this.control = new ControlLink(ring, timers, transport, controls, settings.renew(), this::leaseRequest, this);
        this.claims = new ClaimClient(timers, control::send);
        ForwardingListener heard = new ForwardingListener();
        this.agents = new AgentLinks(ring, timers, transport, heard);
        this.driver = new RequestDriver(timers, agents, claims, fleet, policy, measures);
        heard.target = driver;
        this.admission = new RequestAdmission(deployment, policy);
    }

    /** Joins the deployment. */
    public void start() {
        control.start();
        agents.start();
    }

    /**
     * Hands over a request from a network thread.
     *
     * @param request what the caller sent
     * @param sink    where the answer goes
     * @return the identity of the request; empty if the ring is full, so that the request was not run
     */
    public Optional<String> offer(CallerRequest request, AnswerSink sink) {
        String requestId = UUID.randomUUID().toString();
        return ring.offer(() -> admit(requestId, request, sink)) ? Optional.of(requestId) : Optional.empty();
    }

    /**
     * Notes that a caller went away, from a network thread; it is not blocked while the ring is full.
     *
     * @param requestId identity of its request
     */
    public void callerLeft(String requestId) {
        // Lost at a full ring, the request would run on until its deadline, and take capacity just when that is short.
        ring.offerUntilTaken(() -> driver.callerLeft(requestId), transport.scheduler());
    }

    /**
     * Says whether the entry serves: it holds its lease and has the newest configuration in force.
     *
     * @return false while starting, cut off or stopping
     */
    public boolean ready() {
        return ready;
    }

    /**
     * Says whether the entry holds its lease.
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
     * Returns what the entry counts besides its answers.
     *
     * @return the counters
     */
    public EntryCounters counters() {
        return driver.counters();
    }

    /**
     * Stops without cutting a request off: readiness off, wait for the balancer, refuse, finish, settle and acknowledge,
     * give the lease back.
     *
     * @param done run at the end
     */
    public void stop(Runnable done) {
        stopping = true;
        ready = false;
        LOGGER.info("event=entry-stopping in-progress={}", driver.inProgress());
        timers.schedule(settings.stopDelay().toNanos(), () -> {
            refusing = true;
            awaitIdle(done, timers.nanoTime() + STOP_PATIENCE_NANOS);
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
        // Without the lease nothing new is admitted; what runs goes on under the configuration it was admitted under.
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

    /** A version is reported once it is in force and not before, or the operator would be told so too early. */
    private void configInForce() {
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
            // Settlements that control does not answer: their claims stay held, so nothing runs a second time.
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
                // The sink counts NOT_RUN by itself. Of this one nothing ran either, but its key may have run before.
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

    /** Ties the links and the driver, which need each other, together. */
    private static final class ForwardingListener implements AgentListener {
        private AgentListener target;

        @Override
        public void onMessage(InetSocketAddress agent, WireMessage message) {
            target.onMessage(agent, message);
        }

        @Override
        public void onNotSent(WireMessage message) {
            target.onNotSent(message);
        }

        @Override
        public void onLinkLost(InetSocketAddress agent) {
            target.onLinkLost(agent);
        }
    }
}
