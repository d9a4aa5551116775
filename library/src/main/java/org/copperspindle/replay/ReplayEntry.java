package org.copperspindle.replay;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.agent.AttemptOrderMessage;
import org.copperspindle.agent.AttemptOutcomeMessage;
import org.copperspindle.claims.ClaimDecision;
import org.copperspindle.claims.ClaimResult;
import org.copperspindle.config.AccountSettings;
import org.copperspindle.config.Deployment;
import org.copperspindle.config.PipelineSettings;
import org.copperspindle.config.PoolKind;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.limits.AttemptEnd;
import org.copperspindle.limits.AttemptReport;
import org.copperspindle.limits.EntryPolicy;
import org.copperspindle.limits.EntryPolicyFactory;
import org.copperspindle.limits.PolicyKind;
import org.copperspindle.limits.Refusal;
import org.copperspindle.membership.ControlUpdateMessage;
import org.copperspindle.membership.UpstreamAnnouncement;
import org.copperspindle.pipeline.PipelineAction;
import org.copperspindle.pipeline.PipelineAnswer;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.pipeline.PipelineRun;
import org.copperspindle.pipeline.StageContext;
import org.copperspindle.pipeline.UpstreamChooser;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.PrefixAffinity;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;
import org.copperspindle.time.TimerSubscription;
import org.copperspindle.time.VirtualTimerService;
import org.copperspindle.verdict.NotRunVerdict;

/**
 * An entry of a replay: carries out the actions of {@link PipelineRun}s on upstream models in virtual time, as the
 * entry role does with agents.
 */
final class ReplayEntry {

    private static final long SAME_DOMAIN_DELAY_NANOS = 250_000;
    private static final long OTHER_DOMAIN_DELAY_NANOS = 500_000;
    private static final long CLAIM_DELAY_NANOS = 2_000_000;
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final int MAX_IN_PROGRESS = 4096;
    private static final int PREFIX_REPEATS = 64;
    private static final int SERVER_ERROR = 500;

    private final String name;
    private final String failureDomain;
    private final Deployment deployment;
    private final VirtualTimerService timers;
    private final ReplayFleet models;
    private final ReplayTally tally;
    private final FleetView fleet = new FleetView();
    private final EntryPolicy policy;
    private final Map<String, OpenAttempt> attempts = new HashMap<>();
    private final Map<String, OpenRequest> requests = new HashMap<>();
    private long nextRequest;

    ReplayEntry(
            int index,
            Deployment deployment,
            VirtualTimerService timers,
            ReplayFleet models,
            PolicyKind kind,
            ReplayTally tally) {
        this.name = "e" + index;
        this.failureDomain = deployment
                .failureDomains()
                .get(index % deployment.failureDomains().size());
        this.deployment = deployment;
        this.timers = timers;
        this.models = models;
        this.tally = tally;
        this.policy = EntryPolicyFactory.of(kind, fleet, MAX_IN_PROGRESS, index);
        policy.configure(deployment);
    }

    void onUpdate(ControlUpdateMessage update) {
        fleet.update(update);
        resumeAll();
    }

    void onLoad(String upstreamId, int inFlight) {
        fleet.upstream(upstreamId).ifPresent(view -> view.onLoadReport(inFlight));
    }

    /** Resumes waiting requests of all pools that have a usable upstream. */
    void resumeAll() {
        deployment.pools().keySet().stream().sorted().forEach(this::resume);
    }

    private void resume(String pool) {
        Optional<PipelineRequest> next = policy.next(pool, timers.nanoTime());
        while (next.isPresent()) {
            OpenRequest open = requests.get(next.get().requestId());
            open.waiting.cancel();
            perform(open, open.run.onCapacity(timers.nanoTime()));
            next = policy.next(pool, timers.nanoTime());
        }
    }

    /** Handles the arrival of a request of the trace. */
    void arrive(TraceRequest traceRequest) {
        String requestId = name + "-" + nextRequest++;
        tally.arrived(requestId, traceRequest);
        long now = timers.nanoTime();
        PipelineRequest request = request(requestId, traceRequest, now);
        Optional<Refusal> refusal = policy.tryAdmit(request, now);
        if (refusal.isPresent()) {
            tally.answered(requestId, false, "refused-" + refusal.get().reason(), now);
            return;
        }
        OpenRequest open = new OpenRequest(request, traceRequest);
        requests.put(requestId, open);
        open.chooser = new Chooser(open);
        open.run = new PipelineRun(request, open.chooser);
        open.deadline = timers.schedule(traceRequest.deadlineNanos(), () -> perform(open, open.run.onDeadline()));
        perform(open, open.run.start(now));
    }

    private PipelineRequest request(String requestId, TraceRequest traceRequest, long now) {
        AccountSettings account = deployment.accounts().get(traceRequest.account());
        PipelineSettings pipeline = deployment.pipelines().get(traceRequest.pipeline());
        Priority priority =
                traceRequest.priority().ordinal() < account.highestPriority().ordinal()
                        ? account.highestPriority()
                        : traceRequest.priority();
        String input = traceRequest.prefix() == 0
                ? requestId
                : (traceRequest.prefix() + " ").repeat(PREFIX_REPEATS) + requestId;
        byte[] body = ("{\"input\":\"" + input + "\"}").getBytes(StandardCharsets.UTF_8);
        return new PipelineRequest(
                requestId,
                account,
                requestId,
                pipeline,
                body,
                new byte[0],
                priority,
                now + traceRequest.deadlineNanos(),
                false);
    }

    private void perform(OpenRequest open, List<PipelineAction> actions) {
        actions.forEach(action -> perform(open, action));
    }

    private void perform(OpenRequest open, PipelineAction action) {
        if (action instanceof PipelineAction.Dispatch dispatch) {
            dispatch(open, dispatch.order());
        } else if (action instanceof PipelineAction.Claim claim) {
            // All keys of a trace are new, so a claim is always granted after its delay.
            ClaimDecision granted = ClaimDecision.of(ClaimResult.GRANTED);
            timers.schedule(CLAIM_DELAY_NANOS, () -> perform(open, open.run.onClaim(granted, timers.nanoTime())));
        } else if (action instanceof PipelineAction.Cancel cancel) {
            withdrawAttempt(cancel.attemptId());
            cancel(cancel.attemptId(), cancel.upstreamId());
        } else if (action instanceof PipelineAction.Wait) {
            long maxWaitNanos = open.chooser.enqueue(open.request, timers.nanoTime());
            open.waiting =
                    timers.schedule(maxWaitNanos, () -> perform(open, open.run.onDeadlineUnreachable(RETRY_AFTER)));
        } else if (action instanceof PipelineAction.Answer answer) {
            answer(open, answer.answer());
        }
    }

    private void dispatch(OpenRequest open, AttemptOrderMessage order) {
        long now = timers.nanoTime();
        StageSettings stage = open.run.stage();
        Optional<UpstreamView> found = fleet.upstream(order.upstreamId());
        if (found.isEmpty()) {
            perform(open, open.run.onOutcome(notSent(order.attemptId()), now));
            return;
        }
        UpstreamView view = found.get();
        tally.attempted(order.attemptId().endsWith("/1"));
        policy.dispatched(open.request, stage, view, now);
        OpenAttempt attempt = new OpenAttempt(open, stage, view, order.attemptId(), now);
        attempts.put(order.attemptId(), attempt);
        OptionalLong timeout = policy.attemptTimeout(open.request, stage, now);
        if (timeout.isPresent()) {
            attempt.timeout = timers.schedule(timeout.getAsLong(), () -> timedOut(attempt));
        }
        UpstreamModel model = models.model(order.upstreamId());
        long work = open.traceRequest.workNanos().get(stage.name());
        long delay = delay(model);
        timers.schedule(
                delay, () -> model.order(order, work, open.traceRequest.prefix(), new NetworkListener(attempt, delay)));
    }

    private void timedOut(OpenAttempt attempt) {
        long now = timers.nanoTime();
        long age = now - attempt.startedNanos;
        boolean mayAbandon = policy.mayAbandon(attempt.open.request, attempt.stage, attempt.view, age, now);
        if (!mayAbandon || !attempt.open.run.hasAttemptsLeft()) {
            attempt.timeout = timers.schedule(age / 2, () -> timedOut(attempt));
            return;
        }
        finishAttempt(attempt, AttemptEnd.TIMED_OUT, -1);
        cancel(attempt.id, attempt.view.announcement().upstreamId());
        perform(attempt.open, attempt.open.run.onUnreachable(attempt.id, true, timers.nanoTime()));
    }

    private void cancel(String attemptId, String upstreamId) {
        UpstreamModel model = models.model(upstreamId);
        timers.schedule(delay(model), () -> model.cancel(attemptId));
    }

    private void onOutcome(OpenAttempt attempt, AttemptOutcomeMessage outcome, double cost) {
        if (attempts.get(attempt.id) != attempt) {
            return;
        }
        boolean failed = outcome.status() >= SERVER_ERROR;
        finishAttempt(attempt, failed ? AttemptEnd.FAILED : AttemptEnd.SUCCEEDED, outcome.inFlight());
        tally.used(attempt.open.request.requestId(), failed ? 0 : cost);
        perform(attempt.open, attempt.open.run.onOutcome(outcome, timers.nanoTime()));
        resume(attempt.stage.pool());
    }

    private void onLost(OpenAttempt attempt) {
        if (attempts.get(attempt.id) == attempt) {
            finishAttempt(attempt, AttemptEnd.LOST, -1);
            perform(attempt.open, attempt.open.run.onUnreachable(attempt.id, true, timers.nanoTime()));
            resume(attempt.stage.pool());
        }
    }

    private void onNotSent(OpenAttempt attempt) {
        if (attempts.get(attempt.id) == attempt) {
            finishAttempt(attempt, AttemptEnd.REFUSED, -1);
            perform(attempt.open, attempt.open.run.onOutcome(notSent(attempt.id), timers.nanoTime()));
            resume(attempt.stage.pool());
        }
    }

    private void finishAttempt(OpenAttempt attempt, AttemptEnd end, int inFlight) {
        attempts.remove(attempt.id);
        attempt.timeout.cancel();
        long now = timers.nanoTime();
        policy.onAttemptEnded(
                new AttemptReport(
                        attempt.open.request, attempt.stage, attempt.view, end, now - attempt.startedNanos, inFlight),
                now);
    }

    private void withdrawAttempt(String attemptId) {
        OpenAttempt attempt = attempts.get(attemptId);
        if (attempt != null) {
            finishAttempt(attempt, AttemptEnd.WITHDRAWN, -1);
        }
    }

    private void answer(OpenRequest open, PipelineAnswer answer) {
        open.deadline.cancel();
        open.waiting.cancel();
        requests.remove(open.request.requestId());
        tally.answered(
                open.request.requestId(), answer.successful(), answer.verdict().reason(), timers.nanoTime());
        open.run.openAttempts().forEach(this::withdrawAttempt);
        policy.release(open.request);
        resume(open.run.stage().pool());
    }

    private long delay(UpstreamModel model) {
        return model.failureDomain().equals(failureDomain) ? SAME_DOMAIN_DELAY_NANOS : OTHER_DOMAIN_DELAY_NANOS;
    }

    private static AttemptOutcomeMessage notSent(String attemptId) {
        return new AttemptOutcomeMessage(
                attemptId, new NotRunVerdict("not-sent"), 0, "", new byte[0], false, 0, 0, -1, -1);
    }

    /** Passes the end of an attempt to the entry after the network delay. */
    private final class NetworkListener implements UpstreamModel.AttemptListener {
        private final OpenAttempt attempt;
        private final long delay;

        private NetworkListener(OpenAttempt attempt, long delay) {
            this.attempt = attempt;
            this.delay = delay;
        }

        @Override
        public void onOutcome(AttemptOutcomeMessage outcome, double cost) {
            timers.schedule(delay, () -> ReplayEntry.this.onOutcome(attempt, outcome, cost));
        }

        @Override
        public void onLost() {
            timers.schedule(delay, () -> ReplayEntry.this.onLost(attempt));
        }

        @Override
        public void onNotSent() {
            timers.schedule(delay, () -> ReplayEntry.this.onNotSent(attempt));
        }
    }

    /** The services of this entry that one pipeline run uses. */
    private final class Chooser implements UpstreamChooser {
        private final OpenRequest open;
        private RoutingRequest lastRouting;

        private Chooser(OpenRequest open) {
            this.open = open;
        }

        @Override
        public Optional<UpstreamAnnouncement> choose(StageSettings stage, StageContext context, Set<String> tried) {
            RoutingRequest routing = new RoutingRequest(
                    deployment.pools().get(stage.pool()),
                    stage,
                    failureDomain,
                    open.traceRequest.prefix() == 0 ? 0 : PrefixAffinity.hash(context.input()),
                    tried,
                    open.request.priority(),
                    timers.nanoTime(),
                    1);
            lastRouting = routing;
            return policy.choose(open.request, routing, timers.nanoTime()).map(UpstreamView::announcement);
        }

        @Override
        public boolean mayWait(PipelineRequest request, StageSettings stage) {
            return policy.mayWait(request, stage);
        }

        @Override
        public long enqueue(PipelineRequest request, long now) {
            return policy.enqueue(request, lastRouting, now);
        }

        @Override
        public Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
            return policy.retryAfterIfUnreachable(request, stageIndex, now);
        }

        @Override
        public PoolKind kind(String pool) {
            return deployment.pools().get(pool).kind();
        }

        @Override
        public boolean mayRetry(PipelineRequest request) {
            return policy.mayRetry(request);
        }

        @Override
        public long configVersion() {
            return 1;
        }
    }

    /** A request in progress. */
    private static final class OpenRequest {
        private final PipelineRequest request;
        private final TraceRequest traceRequest;
        private PipelineRun run;
        private TimerSubscription deadline = () -> {};
        private TimerSubscription waiting = () -> {};
        private Chooser chooser;

        private OpenRequest(PipelineRequest request, TraceRequest traceRequest) {
            this.request = request;
            this.traceRequest = traceRequest;
        }
    }

    /** An attempt in progress. */
    private static final class OpenAttempt {
        private final OpenRequest open;
        private final StageSettings stage;
        private final UpstreamView view;
        private final String id;
        private final long startedNanos;
        private TimerSubscription timeout = () -> {};

        private OpenAttempt(OpenRequest open, StageSettings stage, UpstreamView view, String id, long startedNanos) {
            this.open = open;
            this.stage = stage;
            this.view = view;
            this.id = id;
            this.startedNanos = startedNanos;
        }
    }
}
