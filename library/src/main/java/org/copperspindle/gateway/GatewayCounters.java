package org.copperspindle.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.copperspindle.measure.LatencyHistogram;
import org.copperspindle.placement.PlacementReason;

/**
 * Counts the outcomes of requests. Used on the network thread only, where metrics are read as well.
 */
final class GatewayCounters {

    /** Routes beyond this count share one label: routes come and go with configuration versions. */
    private static final int MAX_ROUTES = 100;

    /** Client accounts beyond this count share one label: each is a line of every scrape. */
    private static final int MAX_ACCOUNTS = 200;

    private static final String OTHER = "other";

    private final Map<String, Map<String, Long>> outcomes = new TreeMap<>();
    private final Map<String, Map<String, Long>> accounts = new TreeMap<>();
    private final Map<String, Long> refusals = new TreeMap<>();
    private final Map<String, Long> submissions = new TreeMap<>();
    private final Map<String, Long> placements = new TreeMap<>();
    private final Map<String, LatencyHistogram> durations = new TreeMap<>();
    private final Map<String, LatencyHistogram> waits = new TreeMap<>();
    private final Map<RequestDifference, Long> rejectedCalls = new EnumMap<>(RequestDifference.class);
    private int open;
    private long attempts;
    private long retries;
    private long resumedStreams;
    private long resumedInTime;

    void recordStart() {
        open++;
    }

    /** Counts the end of an admitted request. */
    void recordEnd(String route, String account, String outcome, long nanos) {
        open--;
        String result = isServed(outcome) ? "served" : "failed";
        accounts.computeIfAbsent(accountLabel(account), a -> new TreeMap<>()).merge(result, 1L, Long::sum);
        String label = routeLabel(route);
        outcomes.computeIfAbsent(label, r -> new TreeMap<>()).merge(outcome, 1L, Long::sum);
        durations.computeIfAbsent(label, r -> new LatencyHistogram()).record(nanos);
    }

    /** Counts a request that was not admitted. */
    void recordRefusal(String reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    /** Counts a configuration that an operator submitted, by what it came to, or one that waits long for that. */
    void recordSubmission(String result) {
        submissions.merge(result, 1L, Long::sum);
    }

    /** Counts a call that was not sent because it is of no request in progress. */
    void recordRejectedCall(RequestDifference difference) {
        rejectedCalls.merge(difference, 1L, Long::sum);
    }

    /** Counts an attempt; of a first attempt also how long its request waited for it. */
    void recordAttempt(String route, boolean retry, long waitedNanos) {
        attempts++;
        if (retry) {
            retries++;
        } else {
            waits.computeIfAbsent(routeLabel(route), r -> new LatencyHistogram())
                    .record(waitedNanos);
        }
    }

    /** Counts a stream whose caller receives events again after the loss of its engine. */
    void recordResumed(boolean inTime) {
        resumedStreams++;
        resumedInTime += inTime ? 1 : 0;
    }

    /** Counts a request that was placed at an engine by the loads of the engines. */
    void recordPlacement(PlacementReason reason) {
        placements.merge(reason.label(), 1L, Long::sum);
    }

    int open() {
        return open;
    }

    long attempts() {
        return attempts;
    }

    long retries() {
        return retries;
    }

    long resumedStreams() {
        return resumedStreams;
    }

    long resumedInTime() {
        return resumedInTime;
    }

    /** Returns counts by route and outcome. */
    Map<String, Map<String, Long>> outcomes() {
        return outcomes;
    }

    /** Returns counts by the label of the placement. */
    Map<String, Long> placements() {
        return placements;
    }

    /** Returns the number of calls that were not sent because they differ from the requests in progress. */
    long rejectedCalls(RequestDifference difference) {
        return rejectedCalls.getOrDefault(difference, 0L);
    }

    /** Returns counts by reason. */
    Map<String, Long> refusals() {
        return refusals;
    }

    Map<String, Long> submissions() {
        return submissions;
    }

    /** Returns times from admission to the end, by route. */
    Map<String, LatencyHistogram> durations() {
        return durations;
    }

    /** Returns times from admission to the first attempt, by route. */
    Map<String, LatencyHistogram> waits() {
        return waits;
    }

    /** Returns counts by client account and result. */
    Map<String, Map<String, Long>> accounts() {
        return accounts;
    }

    private static boolean isServed(String outcome) {
        return outcome.equals("streamed") || outcome.startsWith("status-2");
    }

    private String accountLabel(String account) {
        return accounts.containsKey(account) || accounts.size() < MAX_ACCOUNTS ? account : OTHER;
    }

    private String routeLabel(String route) {
        return durations.containsKey(route) || durations.size() < MAX_ROUTES ? route : OTHER;
    }
}
