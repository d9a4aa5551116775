package org.copperspindle.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts of the admission across nodes since this node started, for its metrics. Used on the network thread only.
 */
public final class StartCounters {

    /** Accounts that are counted one by one: as many as a large deployment has, so that memory stays bounded. */
    private static final int MAX_ACCOUNTS = 8192;

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Integer, Long> starts = new TreeMap<>();
    private final Map<Integer, Long> refusals = new TreeMap<>();
    private final Map<String, Double> workByAccount = new HashMap<>();
    private long unanswered;
    private long ignoredResponses;
    private long droppedMessages;

    void recordStart(StagedRequest request, long costNanos) {
        starts.merge(request.rank(), 1L, Long::sum);
        String account = request.accountName();
        if (workByAccount.containsKey(account) || workByAccount.size() < MAX_ACCOUNTS) {
            workByAccount.merge(account, costNanos / NANOS_PER_SECOND, Double::sum);
        }
    }

    void recordRefusal(StagedRequest request) {
        refusals.merge(request.rank(), 1L, Long::sum);
    }

    void recordUnanswered() {
        unanswered++;
    }

    void recordIgnoredResponse() {
        ignoredResponses++;
    }

    void recordDroppedMessage() {
        droppedMessages++;
    }

    /**
     * Returns how many requests this node started as controller.
     *
     * @return counts by rank
     */
    public Map<Integer, Long> starts() {
        return starts;
    }

    /**
     * Returns how many requests this node refused as controller.
     *
     * @return counts by rank
     */
    public Map<Integer, Long> refusals() {
        return refusals;
    }

    /**
     * Returns the work that this node admitted as controller.
     *
     * @return seconds by client account; one second occupies a whole pool for a second
     */
    public Map<String, Double> workByAccount() {
        return workByAccount;
    }

    /**
     * Returns the accounts with the most work.
     *
     * @param count number of accounts
     * @return their names, the busiest first
     */
    public List<String> busiestAccounts(int count) {
        return workByAccount.entrySet().stream()
                .sorted(Map.Entry.<String, Double>comparingByValue(Comparator.reverseOrder()))
                .limit(count)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns how many start requests of this node got no response in time.
     *
     * @return a count
     */
    public long unanswered() {
        return unanswered;
    }

    /**
     * Returns how many responses were ignored because they were late, repeated or not from the controller.
     *
     * @return a count
     */
    public long ignoredResponses() {
        return ignoredResponses;
    }

    /**
     * Returns how many messages were dropped because they were out of range or named an unknown route.
     *
     * @return a count
     */
    public long droppedMessages() {
        return droppedMessages;
    }
}
