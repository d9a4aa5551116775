package org.copperspindle.replay;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.copperspindle.limits.PolicyKind;
import org.copperspindle.replay.ReplayTally.RequestTally;

/**
 * What a replay showed.
 */
public final class ReplayResult {

    private static final long WINDOW_NANOS = 2_000_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double RECOVERED = 0.98;

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
     * Returns the share of arrivals answered whole within their deadline.
     *
     * @param which requests that count
     * @return from 0 to 1; 1 if none counts
     */
    public double attainment(Predicate<TraceRequest> which) {
        return tally.requests().stream()
                .filter(request -> which.test(request.request()))
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
     * Returns cost by stage, which is by pool, in the operators' unit.
     *
     * @return cost by pool
     */
    public Map<String, Double> costByPool() {
        return tally.costByPool();
    }

    /**
     * Returns the cost of one attained request.
     *
     * @return in the operators' unit; infinite if none was attained
     */
    public double costPerAttained() {
        long attained = tally.requests().stream().filter(RequestTally::attained).count();
        return attained == 0 ? Double.POSITIVE_INFINITY : tally.cost() / attained;
    }

    /**
     * Returns the share of cost that served no attained request.
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
     * Returns why requests missed.
     *
     * @return number of requests by reason
     */
    public Map<String, Integer> misses() {
        return tally.misses();
    }

    /**
     * Measures one stated outcome.
     *
     * @param outcome  the outcome
     * @param baseline the same trace under the baseline policy
     * @return the value to hold against its bounds
     */
    public double measure(TraceOutcome outcome, ReplayResult baseline) {
        Predicate<TraceRequest> which = request -> matches(request, outcome);
        return switch (outcome.measure()) {
            case ATTAINMENT -> attainment(which);
            case ATTAINMENT_OF_BASELINE -> attainment(which) / Math.max(1e-9, baseline.attainment(which));
            case COST_OF_BASELINE -> costPerAttained() / baseline.costPerAttained();
            case WASTED -> wasted();
            case EXTRA_ATTEMPTS -> extraAttempts();
            case UNFAIRNESS -> unfairness(outcome.accounts(), which);
            case RECOVERY -> recoverySeconds(which);
        };
    }

    private static boolean matches(TraceRequest request, TraceOutcome outcome) {
        return (outcome.priority().isEmpty() || outcome.priority().get() == request.priority())
                && (outcome.pipeline().isEmpty() || outcome.pipeline().equals(request.pipeline()))
                && (outcome.accounts().isEmpty() || outcome.accounts().contains(request.account()));
    }

    private double unfairness(List<String> accounts, Predicate<TraceRequest> which) {
        double[] shares = accounts.stream()
                .mapToDouble(account ->
                        attainment(which.and(request -> request.account().equals(account))))
                .sorted()
                .toArray();
        return shares.length == 0 ? 0 : shares[shares.length - 1] - shares[0];
    }

    /** Looks for the first window after the last fault from which attainment is back near that of before the first. */
    private double recoverySeconds(Predicate<TraceRequest> which) {
        if (trace.faults().isEmpty()) {
            return 0;
        }
        long first = trace.faults().get(0).fromNanos();
        long last =
                trace.faults().stream().mapToLong(TraceFault::untilNanos).max().orElse(0);
        double before = attainment(which.and(request -> request.atNanos() < first));
        long end = trace.requests().get(trace.requests().size() - 1).atNanos();
        for (long from = last; from < end; from += WINDOW_NANOS / 4) {
            long start = from;
            double share = attainment(
                    which.and(request -> request.atNanos() >= start && request.atNanos() < start + WINDOW_NANOS));
            if (share >= before * RECOVERED) {
                return (from - last) / NANOS_PER_SECOND;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
