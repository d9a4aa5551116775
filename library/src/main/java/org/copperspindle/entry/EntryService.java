package org.copperspindle.entry;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.copperspindle.agent.AttemptCancelMessage;
import org.copperspindle.agent.AttemptChunkMessage;
import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.agent.LoadReportMessage;
import org.copperspindle.agent.OutcomeAckMessage;
import org.copperspindle.agent.OutcomeQueryMessage;
import org.copperspindle.claims.ClaimReplyMessage;
import org.copperspindle.claims.ClaimRequestMessage;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.DeploymentLoader;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.core.DecisionRing;
import org.copperspindle.limits.AdmissionPolicy;
import org.copperspindle.limits.RateAdmissionPolicy;
import org.copperspindle.membership.ControlLink;
import org.copperspindle.membership.ControlLinkListener;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.LeaseRequestMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.pipeline.PipelineAction;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.PipelineRun;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.LeastLoadRoutingPolicy;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.settings.SettingsException;
import org.copperspindle.time.TimerService;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.verdict.NotRunVerdict;
import org.copperspindle.wire.WireMessage;
import org.copperspindle.wire.WireTransport;

/**
 * Drives the requests of one entry: admits them, carries out the actions of their {@link PipelineRun}s and feeds back
 * what comes from agents and control. Runs on the decision ring.
 */
public final class EntryService implements ControlLinkListener {

    private static final Logger LOGGER = LogManager.getLogger(EntryService.class);
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int NOT_FOUND = 404;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final DecisionRing ring;
    private final TimerService timers;
    private final EntrySettings settings;
    private final ControlLink control;
    private final AgentLinks agents;
    private final FleetView fleet = new FleetView();
    private final RoutingPolicy routing = new LeastLoadRoutingPolicy();
    private final AdmissionPolicy admission;
    private final Map<String, OpenRequest> byRequest = new HashMap<>();
    private final Map<String, OpenAttempt> byAttempt = new HashMap<>();
    private final Map<Long, OpenRequest> byClaim = new HashMap<>();
    private final Map<String, AccountSettings> accountsByDigest = new HashMap<>();
    private Deployment deployment = Deployment.EMPTY;
    private long configVersion;
    private long nextCorrelation;
    private boolean stopping;
    private volatile boolean ready;

    /**
     * Creates an entry.
     *
     * @param ring      decision ring that owns it
     * @param timers    time
     * @param transport network
     * @param settings  its settings
     * @param controls  addresses of the control members
     */
    public EntryService(
            DecisionRing ring,
            TimerService timers,
            WireTransport transport,
            EntrySettings settings,
            List<InetSocketAddress> controls) {
        this.ring = ring;
        this.timers = timers;
        this.settings = settings;
        this.admission = new RateAdmissionPolicy(settings.maxInProgress());
        this.control = new ControlLink(ring, timers, transport, controls, settings.renew(), this::leaseRequest, this);
        this.agents = new AgentLinks(ring, timers, transport, new AgentListener());
    }

    /** Joins the deployment. */
    public void start() {
        control.start();
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
     * Notes that a caller went away.
     *
     * @param requestId identity of its request
     */
    public void callerLeft(String requestId) {
        ring.offer(() -> {
            OpenRequest open = byRequest.get(requestId);
            if (open != null) {
                perform(open, open.run.onCallerLeft());
                close(open);
            }
        });
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
     * Stops without cutting a request off: readiness off, wait for the balancer, refuse, finish, give the lease back.
     *
     * @param done run at the end
     */
    public void stop(Runnable done) {
        ready = false;
        timers.schedule(settings.stopDelay().toNanos(), () -> {
            stopping = true;
            awaitIdle(done);
        });
    }

    @Override
    public void onUpdate(ControlUpdateMessage update) {
        if (update.configVersion() > configVersion) {
            putInForce(update);
        }
        fleet.update(update);
        control.renewNow();
    }

    @Override
    public void onLease(boolean held) {
        LOGGER.info("event=lease held={} version={}", held, configVersion);
        updateReady();
    }

    @Override
    public void onReply(WireMessage message) {
        if (message instanceof ClaimReplyMessage reply) {
            OpenRequest open = byClaim.remove(reply.correlation());
            if (open != null) {
                perform(open, open.run.onClaim(reply, timers.nanoTime()));
            }
        }
    }

    private void putInForce(ControlUpdateMessage update) {
        try {
            deployment = DeploymentLoader.parse("version " + update.configVersion(), update.configText());
        } catch (SettingsException e) {
            // Control checks before it accepts, so this build is older than the configuration: don't serve it half.
            LOGGER.error("event=config-unreadable version={}", update.configVersion(), e);
            return;
        }
        configVersion = update.configVersion();
        accountsByDigest.clear();
        deployment.accounts().values().forEach(a -> accountsByDigest.put(a.keyDigest(), a));
        LOGGER.info("event=config-in-force version={}", configVersion);
        updateReady();
    }

    private void updateReady() {
        ready = control.held() && configVersion > 0 && !stopping;
    }

    private void awaitIdle(Runnable done) {
        if (!byRequest.isEmpty()) {
            timers.schedule(20_000_000, () -> awaitIdle(done));
            return;
        }
        control.send(new LeaseRequestMessage(configVersion, fleet.revision(), new byte[0], true));
        control.stop();
        done.run();
    }

    private LeaseRequestMessage leaseRequest() {
        return new LeaseRequestMessage(configVersion, fleet.revision(), new byte[0], false);
    }

    private void admit(String requestId, CallerRequest request, AnswerSink sink) {
        if (stopping || !control.held() || configVersion == 0) {
            refuse(requestId, sink, "not-serving", UNAVAILABLE, "this entry does not serve now", COME_BACK);
            return;
        }
        Optional<AccountSettings> account = authenticate(request.bearer());
        if (account.isEmpty()) {
            refuse(requestId, sink, "unknown-key", UNAUTHORIZED, "unknown bearer key", null);
            return;
        }
        Optional<PipelineSettings> pipeline =
                deployment.pipeline(request.pipeline()).filter(p -> p.service() == request.service());
        if (pipeline.isEmpty()) {
            refuse(requestId, sink, "unknown-pipeline", NOT_FOUND, "no such pipeline or service", null);
            return;
        }
        if (!account.get().pipelines().contains(request.pipeline())) {
            refuse(requestId, sink, "not-allowed", FORBIDDEN, "the account may not call this", null);
            return;
        }
        admit(requestId, request, sink, account.get(), pipeline.get());
    }

    private void admit(
            String requestId,
            CallerRequest request,
            AnswerSink sink,
            AccountSettings account,
            PipelineSettings pipeline) {
        long now = timers.nanoTime();
        Priority priority = request.priority().orElse(pipeline.priority());
        if (priority.ordinal() < account.highest().ordinal()) {
            priority = account.highest();
        }
        Optional<Duration> refusal = admission.refuse(account, priority, now);
        if (refusal.isPresent()) {
            refuse(requestId, sink, "rate", TOO_MANY_REQUESTS, "over the account's rate", refusal.get());
            return;
        }
        Duration deadline = request.deadline().orElse(pipeline.deadline());
        if (deadline.compareTo(account.maxDeadline()) > 0) {
            deadline = account.maxDeadline();
        }
        PipelineRequest admitted = new PipelineRequest(
                requestId,
                account,
                request.key().orElse(requestId),
                pipeline,
                request.body(),
                sha256(request.body()),
                priority,
                now + deadline.toNanos(),
                request.streaming());
        OpenRequest open = new OpenRequest(admitted, new PipelineRun(admitted, new Chooser()), sink);
        byRequest.put(requestId, open);
        open.deadline = timers.schedule(deadline.toNanos(), () -> perform(open, open.run.onDeadline()));
        LOGGER.debug("event=admitted request={} account={} pipeline={}", requestId, account.name(), pipeline.name());
        perform(open, open.run.start(now));
    }

    private Optional<AccountSettings> authenticate(String bearer) {
        byte[] digest = sha256(bearer.getBytes(StandardCharsets.UTF_8));
        AccountSettings account = accountsByDigest.get(HexFormat.of().formatHex(digest));
        return Optional.ofNullable(account)
                .filter(a -> MessageDigest.isEqual(HexFormat.of().parseHex(a.keyDigest()), digest));
    }

    private void refuse(String requestId, AnswerSink sink, String reason, int status, String title, Duration comeBack) {
        LOGGER.info("event=refused request={} reason={}", requestId, reason);
        sink.end(
                requestId,
                PipelineAnswer.failure(new NotRunVerdict(reason), status, title, Optional.ofNullable(comeBack)));
    }

    private void perform(OpenRequest open, List<PipelineAction> actions) {
        actions.forEach(action -> perform(open, action));
    }

    private void perform(OpenRequest open, PipelineAction action) {
        if (action instanceof PipelineAction.Dispatch dispatch) {
            dispatch(open, dispatch.order());
        } else if (action instanceof PipelineAction.Claim claim) {
            claim(open, claim.request());
        } else if (action instanceof PipelineAction.Settle settle) {
            control.send(settle.settle());
        } else if (action instanceof PipelineAction.Query query) {
            query(open, query);
        } else if (action instanceof PipelineAction.Cancel cancel) {
            sendTo(cancel.upstreamId(), new AttemptCancelMessage(cancel.attemptId()));
        } else if (action instanceof PipelineAction.Acknowledge ack) {
            sendTo(ack.upstreamId(), new OutcomeAckMessage(ack.attemptId()));
        } else if (action instanceof PipelineAction.Piece piece) {
            open.sink.piece(piece.text());
        } else if (action instanceof PipelineAction.Answer answer) {
            answer(open, answer.answer());
        }
    }

    private void dispatch(OpenRequest open, AttemptOrderMessage order) {
        Optional<UpstreamView> view = fleet.upstream(order.upstreamId());
        if (view.isEmpty()) {
            notSent(open, order.attemptId());
            return;
        }
        view.get().dispatched();
        open(open, order.attemptId(), view.get());
        agents.send(view.get().announcement().agentAddress(), order);
    }

    private void claim(OpenRequest open, ClaimRequestMessage request) {
        long correlation = nextCorrelation++;
        byClaim.put(correlation, open);
        ClaimRequestMessage numbered = new ClaimRequestMessage(
                correlation,
                request.account(),
                request.key(),
                request.stage(),
                request.attemptId(),
                request.upstreamId(),
                request.bodyDigest());
        if (!control.send(numbered)) {
            byClaim.remove(correlation);
            ClaimReplyMessage reply = new ClaimReplyMessage(correlation, ClaimResult.UNAVAILABLE.name(), "", "");
            perform(open, open.run.onClaim(reply, timers.nanoTime()));
        }
    }

    private void query(OpenRequest open, PipelineAction.Query query) {
        Optional<UpstreamView> view = fleet.upstream(query.upstreamId());
        if (view.isEmpty()) {
            perform(open, open.run.onLost("agent-gone", timers.nanoTime()));
            return;
        }
        view.get().dispatched();
        open(open, query.attemptId(), view.get());
        agents.send(view.get().announcement().agentAddress(), new OutcomeQueryMessage(query.attemptId(), 0));
    }

    private void open(OpenRequest open, String attemptId, UpstreamView view) {
        open.attemptId = attemptId;
        byAttempt.put(attemptId, new OpenAttempt(open, view));
    }

    private void sendTo(String upstreamId, WireMessage message) {
        fleet.upstream(upstreamId)
                .ifPresent(view -> agents.send(view.announcement().agentAddress(), message));
    }

    private void notSent(OpenRequest open, String attemptId) {
        AttemptOutcomeMessage outcome = new AttemptOutcomeMessage(
                attemptId, new NotRunVerdict("not-sent"), 0, "", new byte[0], false, 0, 0, -1, -1);
        perform(open, open.run.onOutcome(outcome, timers.nanoTime()));
    }

    private void answer(OpenRequest open, PipelineAnswer answer) {
        LOGGER.info(
                "event=answered request={} account={} pipeline={} verdict={} status={}",
                open.request.requestId(),
                open.request.account().name(),
                open.request.pipeline().name(),
                answer.verdict().label(),
                answer.status());
        close(open);
        open.sink.end(open.request.requestId(), answer);
    }

    private void close(OpenRequest open) {
        if (byRequest.remove(open.request.requestId()) == null) {
            return;
        }
        open.deadline.cancel();
        admission.release(open.request.account(), open.request.priority());
        OpenAttempt attempt = byAttempt.remove(open.attemptId);
        if (attempt != null) {
            attempt.view.ended(-1);
        }
    }

    private static byte[] sha256(byte[] data) {
        try {
            return MessageDigest.getInstance("SHA-256").digest(data);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    /** Hears the agents. */
    private final class AgentListener implements AgentLinks.AgentLinkListener {

        @Override
        public void onMessage(WireMessage message) {
            if (message instanceof LoadReportMessage report) {
                fleet.upstream(report.upstreamId())
                        .ifPresent(view -> view.reported(report.inFlight() + report.queued()));
            } else if (message instanceof AttemptChunkMessage chunk) {
                OpenAttempt attempt = byAttempt.get(chunk.attemptId());
                if (attempt != null) {
                    perform(attempt.open, attempt.open.run.onChunk(chunk));
                }
            } else if (message instanceof AttemptOutcomeMessage outcome) {
                OpenAttempt attempt = byAttempt.remove(outcome.attemptId());
                if (attempt != null) {
                    attempt.view.ended(outcome.inFlight());
                    perform(attempt.open, attempt.open.run.onOutcome(outcome, timers.nanoTime()));
                }
            }
        }

        @Override
        public void onNotSent(WireMessage message) {
            if (message instanceof AttemptOrderMessage order) {
                OpenAttempt attempt = byAttempt.remove(order.attemptId());
                if (attempt != null) {
                    attempt.view.ended(-1);
                    notSent(attempt.open, order.attemptId());
                }
            } else if (message instanceof OutcomeQueryMessage query) {
                lose(query.attemptId(), "agent-unreachable");
            }
        }

        @Override
        public void onLinkLost(InetSocketAddress address) {
            List<String> lost = byAttempt.entrySet().stream()
                    .filter(e -> e.getValue().view.announcement().agentAddress().equals(address))
                    .map(Map.Entry::getKey)
                    .toList();
            lost.forEach(attemptId -> lose(attemptId, "agent-connection-lost"));
        }

        private void lose(String attemptId, String reason) {
            OpenAttempt attempt = byAttempt.remove(attemptId);
            if (attempt != null) {
                attempt.view.ended(-1);
                perform(attempt.open, attempt.open.run.onLost(reason, timers.nanoTime()));
            }
        }
    }

    /** What the runs ask of this entry. */
    private final class Chooser implements UpstreamChooser {

        @Override
        public Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried) {
            RoutingRequest request =
                    new RoutingRequest(deployment.pools().get(stage.pool()), stage, settings.failureDomain(), 0, tried);
            return routing.choose(fleet.pool(stage.pool()), request).map(UpstreamView::announcement);
        }

        @Override
        public PoolKind kind(String pool) {
            return deployment.pools().get(pool).kind();
        }

        @Override
        public boolean mayRetry(PipelineRequest request) {
            return true;
        }

        @Override
        public long configVersion() {
            return configVersion;
        }
    }

    /** One request in progress. */
    private static final class OpenRequest {
        private final PipelineRequest request;
        private final PipelineRun run;
        private final AnswerSink sink;
        private TimerSubscription deadline = () -> {};
        private String attemptId = "";

        private OpenRequest(PipelineRequest request, PipelineRun run, AnswerSink sink) {
            this.request = request;
            this.run = run;
            this.sink = sink;
        }
    }

    private record OpenAttempt(OpenRequest open, UpstreamView view) {}
}
