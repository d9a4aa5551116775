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
 * The policy to serve with. Attempts that find no upstream wait at the entry, where priority and fair share can order
 * them, rather than in an upstream's queue, where they can't.
 */
final class AdaptiveEntryPolicy implements EntryPolicy {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1e3;
    private static final long MIN_REVIEW_NANOS = 50_000_000;
    private static final double LATE = 1.3;
    private static final long PROBE_NANOS = 250_000_000;
    private static final Duration MIN_COME_BACK = Duration.ofSeconds(1);

    private final FleetView fleet;
    private final PoolSubset subsets;
    private final AdmissionPolicy admission;
    private final RoutingPolicy routing = new AffinityRoutingPolicy();
    private final Map<String, WaitingLine> lines = new HashMap<>();
    private final Map<String, ConcurrencyLimit> limits = new HashMap<>();
    private final LatencyLedger ledger = new LatencyLedger();
    private final RetryBudget budget = new RetryBudget();
    private final Map<String, Long> probedAt = new HashMap<>();

    AdaptiveEntryPolicy(FleetView fleet, int maxInProgress, long entrySeed) {
        this.subsets = new PoolSubset(fleet, entrySeed);
        this.fleet = fleet;
        this.admission = new RateAdmissionPolicy(maxInProgress);
    }

    @Override
    public void configure(Deployment deployment) {
        // Lines are made on first use, so that a pool that goes keeps its waiters until their deadlines.
    }

    @Override
    public void setRateShare(double fraction, long now) {
        admission.setRateShare(fraction, now);
    }

    @Override
    public Optional<Refusal> tryAdmit(PipelineRequest request, long now) {
        Optional<Duration> tooLate = foresee(request, now);
        if (tooLate.isPresent()) {
            return tooLate.map(retryAfter -> new Refusal(Refusal.DEADLINE_UNREACHABLE, retryAfter));
        }
        return admission
                .tryAdmit(request.account(), request.priority(), now)
                .map(retryAfter -> new Refusal(Refusal.RATE, retryAfter));
    }

    @Override
    public void release(PipelineRequest request) {
        admission.release(request.account(), request.priority());
        lines.values().forEach(line -> line.remove(request));
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
        ledger.tail(request.pipeline(), stage).started();
        budget.earned(request.account().name());
        line(stage.pool()).dispatched(request.priority(), now);
    }

    @Override
    public void ended(AttemptReport report, long now) {
        report.view().ended(report.inFlight());
        judge(report, now);
        boolean missed =
                report.end() == AttemptEnd.WITHDRAWN && now >= report.request().deadlineNanos();
        if (missed || report.end() == AttemptEnd.SUCCEEDED) {
            limit(report.stage().pool()).ended(!missed, now);
        }
        ledger.tail(report.request().pipeline(), report.stage())
                .ended(report.request().requestId());
        if (report.end() == AttemptEnd.SUCCEEDED || report.end() == AttemptEnd.WITHDRAWN) {
            ledger.record(report.request().pipeline(), report.stage(), report.tookNanos(), now);
        }
    }

    @Override
    public OptionalLong attemptTimeout(PipelineRequest request, StageSettings stage, long now) {
        long usual = ledger.quantile(request.pipeline(), stage, Quantile.P50, now);
        return usual == 0 ? OptionalLong.empty() : OptionalLong.of(Math.max(MIN_REVIEW_NANOS, usual));
    }

    @Override
    public boolean mayAbandon(
            PipelineRequest request, StageSettings stage, UpstreamView view, long ageNanos, long now) {
        ledger.tail(request.pipeline(), stage).overdue(request.requestId());
        long tail = ledger.quantile(request.pipeline(), stage, Quantile.P95, now);
        boolean late = ageNanos >= Math.max(MIN_REVIEW_NANOS, tail * LATE);
        if (late) {
            // An attempt that is late already says more about a slow pool than those that will end, much later, do.
            ledger.record(request.pipeline(), stage, ageNanos, now);
        }
        if (!stage.repeatable() || !budget.allows(request.account().name())) {
            return false;
        }
        boolean away = view.health().ejected(now)
                || fleet.upstream(view.announcement().upstreamId()).isEmpty();
        return (away || late && silent(view, stage, now - ageNanos)) && timeForAnother(request, stage, now);
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
        line(routingRequest.pool().name()).add(new Waiter(request, routingRequest));
        int stageIndex = request.pipeline().stages().indexOf(routingRequest.stage());
        return request.deadlineNanos() - now - ledger.rest(request.pipeline(), stageIndex, Quantile.P10, now);
    }

    @Override
    public Optional<Duration> retryAfterIfUnreachable(PipelineRequest request, int stageIndex, long now) {
        long needed = ledger.rest(request.pipeline(), stageIndex, Quantile.P10, now);
        return stageIndex == 0 || needed <= request.deadlineNanos() - now
                ? Optional.empty()
                : Optional.of(MIN_COME_BACK);
    }

    @Override
    public boolean hasWaiting(String pool) {
        return line(pool).peek().isPresent();
    }

    @Override
    public Optional<PipelineRequest> next(String pool, long now) {
        WaitingLine line = line(pool);
        Optional<Waiter> head = line.peek();
        if (head.isEmpty()
                || choose(head.get().request(), head.get().routing(), now).isEmpty()) {
            return Optional.empty();
        }
        line.poll();
        return Optional.of(head.get().request());
    }

    private void judge(AttemptReport report, long now) {
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

    /** An upstream that ended nothing since an attempt began, while others did, is stalled rather than busy. */
    private boolean silent(UpstreamView view, StageSettings stage, long since) {
        if (view.health().lastSuccessAt() >= since) {
            return false;
        }
        return fleet.pool(stage.pool()).stream()
                .anyMatch(other -> other.health().lastSuccessAt() >= since);
    }

    private boolean timeForAnother(PipelineRequest request, StageSettings stage, long now) {
        int index = request.pipeline().stages().indexOf(stage);
        return now + ledger.rest(request.pipeline(), index, Quantile.P50, now) <= request.deadlineNanos();
    }

    /**
     * Refuses what can't be done in time before it has cost anything. Safeguard: work that is begun and then misses its
     * deadline takes capacity from work that would not; the symptom is a pool that is busy while nothing is answered.
     * Enough, because the forecast goes by what is in line now and by durations that the same entry has just seen.
     */
    private Optional<Duration> foresee(PipelineRequest request, long now) {
        long left = request.deadlineNanos() - now;
        Quantile expected = request.priority() == Priority.INTERACTIVE ? Quantile.P10 : Quantile.P50;
        long work = ledger.rest(request.pipeline(), 0, expected, now);
        if (work > left && !probe(request, now)) {
            return Optional.of(MIN_COME_BACK);
        }
        double wait = 0;
        for (StageSettings stage : request.pipeline().stages()) {
            wait += line(stage.pool()).waitSeconds(request, now);
        }
        if (work + wait * NANOS_PER_SECOND <= left || wait == 0) {
            return Optional.empty();
        }
        Duration retryAfter = Duration.ofMillis((long) (wait * MILLIS_PER_SECOND));
        return Optional.of(retryAfter.compareTo(MIN_COME_BACK) < 0 ? MIN_COME_BACK : retryAfter);
    }

    /** Lets one request through now and then, or nothing would be learned once a pool is fast again. */
    private boolean probe(PipelineRequest request, long now) {
        String pipeline = request.pipeline().name();
        Long last = probedAt.get(pipeline);
        if (last != null && now - last < PROBE_NANOS) {
            return false;
        }
        probedAt.put(pipeline, now);
        return true;
    }

    private ConcurrencyLimit limit(String pool) {
        return limits.computeIfAbsent(pool, name -> new ConcurrencyLimit());
    }

    private WaitingLine line(String pool) {
        return lines.computeIfAbsent(pool, name -> new WaitingLine());
    }
}
