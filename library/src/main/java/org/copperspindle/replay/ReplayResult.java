package org.copperspindle.replay;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.copperspindle.limits.PolicyKind;
import org.copperspindle.replay.ReplayTally.RequestTally;

/**
 * The measured result of a replay.
 */
public final class ReplayResult {

    private static final long RECOVERY_WINDOW_NANOS = 2_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RECOVERY_RATIO = 0.98;

    private final Trace trace;
    private final PolicyKind kind;
    private final ReplayTally tally;

    ReplayResult(Trace trace, PolicyKind kind, ReplayTally tally) {
        this.trace = trace;
        this.kind = kind;
        this.tally = tally;
    }

    /**
     * Returns the policy that was replayed.
     *
     * @return its kind
     */
    public PolicyKind kind() {
        return kind;
    }

    /**
     * Returns the number of arrivals.
     *
     * @return requests of the trace
     */
    public int arrivals() {
        return tally.requests().size();
    }

    /**
     * Returns the share of requests answered completely within their deadline.
     *
     * @param filter filter of the requests to include
     * @return a share from 0 to 1; 1 if no request is included
     */
    public double attainment(Predicate<TraceRequest> filter) {
        return tally.requests().stream()
                .filter(request -> filter.test(request.request()))
                .mapToInt(request -> request.attained() ? 1 : 0)
                .average()
                .orElse(1);
    }

    /**
     * Returns attainment grouped by a property of the requests.
     *
     * @param property the property
     * @param <K>      its type
     * @return attainment by value of the property
     */
    public <K> Map<K, Double> attainmentBy(Function<TraceRequest, K> property) {
        return tally.requests().stream()
                .collect(Collectors.groupingBy(
                        request -> property.apply(request.request()),
                        java.util.TreeMap::new,
                        Collectors.averagingDouble(request -> request.attained() ? 1 : 0)));
    }

    /**
     * Returns cost by pool, in the unit of the deployment's cost settings.
     *
     * @return cost by pool
     */
    public Map<String, Double> costByPool() {
        return tally.costByPool();
    }

    /**
     * Returns the cost of one attained request.
     *
     * @return cost in the unit of the deployment's cost settings; infinite if no request was attained
     */
    public double costPerAttained() {
        long attained = tally.requests().stream().filter(RequestTally::attained).count();
        return attained == 0 ? Double.POSITIVE_INFINITY : tally.cost() / attained;
    }

    /**
     * Returns the share of cost that didn't contribute to an attained request.
     *
     * @return from 0 to 1
     */
    public double wasted() {
        return tally.wasted();
    }

    /**
     * Returns attempts beyond the first of their stage, divided by first attempts.
     *
     * @return the share
     */
    public double extraAttempts() {
        return tally.extraAttemptShare();
    }

    /**
     * Returns the number of requests that were not attained, by reason.
     *
     * @return number of requests by reason
     */
    public Map<String, Integer> misses() {
        return tally.misses();
    }

    /**
     * Measures one expected outcome.
     *
     * @param outcome  the outcome
     * @param baseline result of the same trace under the baseline policy
     * @return the value to compare with the bounds
     */
    public double measure(TraceOutcome outcome, ReplayResult baseline) {
        Predicate<TraceRequest> filter = request -> matches(request, outcome);
        return switch (outcome.measure()) {
            case ATTAINMENT -> attainment(filter);
            case ATTAINMENT_OF_BASELINE -> attainment(filter) / Math.max(1e-9, baseline.attainment(filter));
            case COST_OF_BASELINE -> costPerAttained() / baseline.costPerAttained();
            case WASTED -> wasted();
            case EXTRA_ATTEMPTS -> extraAttempts();
            case UNFAIRNESS -> unfairness(outcome.accounts(), filter);
            case RECOVERY -> recoverySeconds(filter);
        };
    }

    private static boolean matches(TraceRequest request, TraceOutcome outcome) {
        return (outcome.priority().isEmpty() || outcome.priority().get() == request.priority())
                && (outcome.pipeline().isEmpty() || outcome.pipeline().equals(request.pipeline()))
                && (outcome.accounts().isEmpty() || outcome.accounts().contains(request.account()));
    }

    private double unfairness(List<String> accounts, Predicate<TraceRequest> filter) {
        double[] shares = accounts.stream()
                .mapToDouble(account ->
                        attainment(filter.and(request -> request.account().equals(account))))
                .sorted()
                .toArray();
        return shares.length == 0 ? 0 : shares[shares.length - 1] - shares[0];
    }

    /** Finds the first window after the last fault in which attainment is near its level before the first fault. */
    private double recoverySeconds(Predicate<TraceRequest> filter) {
        if (trace.faults().isEmpty()) {
            return 0;
        }
        long first = trace.faults().get(0).fromNanos();
        long last =
                trace.faults().stream().mapToLong(TraceFault::untilNanos).max().orElse(0);
        double before = attainment(filter.and(request -> request.atNanos() < first));
        long end = trace.requests().get(trace.requests().size() - 1).atNanos();
        for (long from = last; from < end; from += RECOVERY_WINDOW_NANOS / 4) {
            long start = from;
            double share = attainment(filter.and(
                    request -> request.atNanos() >= start && request.atNanos() < start + RECOVERY_WINDOW_NANOS));
            if (share >= before * RECOVERY_RATIO) {
                return (from - last) / NANOS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
