package org.copperspindle.limits;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.config.Deployment;
import org.copperspindle.config.Priority;
import org.copperspindle.config.StageSettings;
import org.copperspindle.pipeline.PipelineRequest;
import org.copperspindle.routing.AffinityRoutingPolicy;
import org.copperspindle.routing.EjectionPolicy;
import org.copperspindle.routing.FleetView;
import org.copperspindle.routing.PoolSubset;
import org.copperspindle.routing.RoutingPolicy;
import org.copperspindle.routing.RoutingRequest;
import org.copperspindle.routing.UpstreamView;

/**
 * The default policy for production. Attempts without a usable upstream wait at the entry, where priority and fair
 * share determine their order, rather than in the queue of an upstream, which knows neither.
 */
final class AdaptiveEntryPolicy implements EntryPolicy {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long MIN_ATTEMPT_TIMEOUT_NANOS = 50_000_000;
    private static final double LATE_FACTOR = 1.3;
    private static final long PROBE_INTERVAL_NANOS = 250_000_000;
    private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

    private final FleetView fleet;
    private final PoolSubset subsets;
    private final AdmissionPolicy admission;
    private final RoutingPolicy routing = new AffinityRoutingPolicy();
    private final Map<String, PoolQueue> queues = new HashMap<>();
    private final Map<String, ConcurrencyLimit> limits = new HashMap<>();
    private final LatencyTracker latencies = new LatencyTracker();
    private final RetryBudget budget = new RetryBudget();
    private final Map<String, Long> probedAt = new HashMap<>();

    AdaptiveEntryPolicy(FleetView fleet, int maxInProgress, long entrySeed) {
        this.subsets = new PoolSubset(fleet, entrySeed);
        this.fleet = fleet;
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        // Queues are created on first use, so that a removed pool keeps its waiting attempts until their deadlines.
    }

    @Override
    public void setRateShare(double fraction, long now) {
        admission.setRateShare(fraction, now);
    }

    @Override
    public Optional<Refusal> tryAdmit(PipelineRequest request, long now) {
        Optional<Duration> predictedMiss = predictRetryAfter(request, now);
        if (predictedMiss.isPresent()) {
            return predictedMiss.map(retryAfter -> new Refusal(Refusal.DEADLINE_UNREACHABLE, retryAfter));
        }
        return admission
                .tryAdmit(request.account(), request.priority(), now)
                .map(retryAfter -> new Refusal(Refusal.RATE, retryAfter));
    }

    @Override
    public void release(PipelineRequest request) {
        admission.release(request.account(), request.priority());
        queues.values().forEach(queue -> queue.remove(request));
    }

    @Override
    public Optional<UpstreamView> choose(PipelineRequest request, RoutingRequest routingRequest, long now) {
        String pool = routingRequest.pool().name();
        double share =
                request.priority() == Priority.INTERACTIVE ? 1 : limit(pool).share();
        return routing.choose(subsets.of(pool, routingRequest.stage().model()), routingRequest.at(now, share));
    }

    @Override
    public void dispatched(PipelineRequest request, StageSettings stage, UpstreamView view, long now) {
        view.dispatched();
        latencies.latency(request.pipeline(), stage).started();
        budget.onFirstAttempt(request.account().name());
        queue(stage.pool()).dispatched(request.priority(), now);
    }

    @Override
    public void onAttemptEnded(AttemptReport report, long now) {
        report.view().onAttemptEnded(report.inFlight());
        updateHealth(report, now);
        boolean missed =
                report.end() == AttemptEnd.WITHDRAWN && now >= report.request().deadlineNanos();
        if (missed || report.end() == AttemptEnd.SUCCEEDED) {
            limit(report.stage().pool()).ended(!missed, now);
        }
        latencies
                .latency(report.request().pipeline(), report.stage())
                .ended(report.request().requestId());
        if (report.end() == AttemptEnd.SUCCEEDED || report.end() == AttemptEnd.WITHDRAWN) {
            latencies.record(report.request().pipeline(), report.stage(), report.durationNanos(), now);
        }
    }

    @Override
    public OptionalLong attemptTimeout(PipelineRequest request, StageSettings stage, long now) {
        long median = latencies.quantile(request.pipeline(), stage, Quantile.P50, now);
        return median == 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, median));
    }

    @Override
    public boolean mayAbandon(
            PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now) {
        latencies.latency(request.pipeline(), stage).overdue(request.requestId());
        long tail = latencies.quantile(request.pipeline(), stage, Quantile.P95, now);
        boolean late = ageNanos >= Math.max(MIN_ATTEMPT_TIMEOUT_NANOS, tail * LATE_FACTOR);
        if (late) {
            // An attempt that is already late indicates a slow pool much earlier than completed attempts do.
            latencies.record(request.pipeline(), stage, ageNanos, now);
        }
        if (!stage.repeatable() || !budget.allows(request.account().name())) {
            return false;
        }
        boolean isUnavailable = view.health().ejected(now)
                || fleet.upstream(view.announcement().upstreamId()).isEmpty();
        return (isUnavailable || late && isStalled(view, stage, now - ageNanos))
                && hasTimeForRetry(request, stage, now);
    }

    @Override
    public boolean mayRetry(PipelineRequest request) {
        return budget.take(request.account().name());
    }

    @Override
    public boolean mayWait(PipelineRequest request, StageSettings stage) {
        return true;
    }

    @Override
    public long enqueue(PipelineRequest request, RoutingRequest routingRequest, long now) {
        queue(routingRequest.pool().name()).add(new Waiter(request, routingRequest));
        int stageIndex = request.pipeline().stages().indexOf(routingRequest.stage());
        return request.deadlineNanos() - now - latencies.remaining(request.pipeline(), stageIndex, Quantile.P10, now);
    }

    @Override
    public Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
        long needed = latencies.remaining(request.pipeline(), stageIndex, Quantile.P10, now);
        return stageIndex == 0 || needed <= request.deadlineNanos() - now
                ? Optional.empty()
                : Optional.of(MIN_RETRY_AFTER);
    }

    @Override
    public boolean hasWaiting(String pool) {
        return queue(pool).peek().isPresent();
    }

    @Override
    public Optional<PipelineRequest> next(String pool, long now) {
        PoolQueue queue = queue(pool);
        Optional<Waiter> head = queue.peek();
        if (head.isEmpty()
                || choose(head.get().request(), head.get().routing(), now).isEmpty()) {
            return Optional.empty();
        }
        queue.poll();
        return Optional.of(head.get().request());
    }

    private void updateHealth(AttemptReport report, long now) {
        switch (report.end()) {
            case SUCCEEDED:
                report.view().health().succeeded(now);
                break;
            case FAILED, LOST, TIMED_OUT, REFUSED:
                EjectionPolicy.failed(report.view(), fleet.pool(report.stage().pool()), now);
                break;
            default:
                break;
        }
    }

    /**
     * Returns whether an upstream is stalled rather than busy: it completed nothing since an attempt began, while
     * others did.
     */
    private boolean isStalled(UpstreamView view, StageSettings stage, long since) {
        if (view.health().lastSuccessAt() >= since) {
            return false;
        }
        return fleet.pool(stage.pool()).stream()
                .anyMatch(other -> other.health().lastSuccessAt() >= since);
    }

    private boolean hasTimeForRetry(PipelineRequest request, StageSettings stage, long now) {
        int index = request.pipeline().stages().indexOf(stage);
        return now + latencies.remaining(request.pipeline(), index, Quantile.P50, now) <= request.deadlineNanos();
    }

    /**
     * Predicts whether a request will miss its deadline, so that it is refused before it has cost anything. Work that
     * starts and then misses its deadline takes capacity from work that would not: the pool is busy while nothing is
     * answered in time. The prediction uses the current queues and the durations that this entry observed recently.
     */
    private Optional<Duration> predictRetryAfter(PipelineRequest request, long now) {
        long remainingNanos = request.deadlineNanos() - now;
        Quantile expected = request.priority() == Priority.INTERACTIVE ? Quantile.P10 : Quantile.P50;
        long work = latencies.remaining(request.pipeline(), 0, expected, now);
        if (work > remainingNanos && !probe(request, now)) {
            return Optional.of(MIN_RETRY_AFTER);
        }
        double wait = 0;
        for (StageSettings stage : request.pipeline().stages()) {
            wait += queue(stage.pool()).waitSeconds(request, now);
        }
        if (work + wait * NANOS_PER_SECOND <= remainingNanos || wait == 0) {
            return Optional.empty();
        }
        Duration retryAfter = Duration.ofMillis((long) (wait * MILLIS_PER_SECOND));
        return Optional.of(retryAfter.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : retryAfter);
    }

    /**
     * Admits one request at intervals despite a predicted miss; otherwise the entry would never notice that a pool is
     * fast again.
     */
    private boolean probe(PipelineRequest request, long now) {
        String pipeline = request.pipeline().name();
        Long last = probedAt.get(pipeline);
        if (last != null && now - last < PROBE_INTERVAL_NANOS) {
            return false;
        }
        probedAt.put(pipeline, now);
        return true;
    }

    private ConcurrencyLimit limit(String pool) {
        return limits.computeIfAbsent(pool, name -> new ConcurrencyLimit());
    }

    private PoolQueue queue(String pool) {
        return queues.computeIfAbsent(pool, name -> new PoolQueue());
    }
}
