package org.copperspindle.gateway;

import java.util.HashSet;
import java.util.Set;

import org.copperspindle.admission.FleetStageStarts;
import org.copperspindle.admission.StartCounters;
import org.copperspindle.measure.MetricsRegistry;

/**
 * Publishes the metrics of the admission across nodes.
 */
final class AdmissionMetrics {

    /** Accounts whose work is published: the busiest ones, which shape the shares of all others. */
    private static final int BUSIEST_ACCOUNTS = 10;

    /** Maximum number of account series, since accounts that were busy once stay published. */
    private static final int MAX_ACCOUNT_SERIES = 100;

    private final FleetStageStarts starts;
    private final StartCounters counters;
    private final Set<Integer> ranks = new HashSet<>();
    private final Set<String> accounts = new HashSet<>();

    AdmissionMetrics(FleetStageStarts starts) {
        this.starts = starts;
        this.counters = starts.counters();
    }

    /** Publishes the series that every node has. */
    void publish(MetricsRegistry metrics) {
        metrics.gauge(
                "admission.asked",
                "Requests of this node that wait for a decision of a controller",
                starts,
                FleetStageStarts::pendingCount);
        metrics.gauge(
                "admission.short.pools",
                "Pools of the groups that this node controls and finds short of capacity",
                starts,
                s -> s.shortPools().size());
        metrics.counter(
                "admission.unanswered",
                "Start requests that got no response in time",
                counters,
                StartCounters::unanswered);
        metrics.counter(
                "admission.responses.ignored",
                "Responses that were late, repeated or not from the controller",
                counters,
                StartCounters::ignoredResponses);
        metrics.counter(
                "admission.messages.dropped",
                "Messages that were out of range, named an unknown route or came while too many requests waited",
                counters,
                StartCounters::droppedMessages);
    }

    /** Publishes the series of ranks and accounts that have appeared since the last scrape. */
    void publishNew(MetricsRegistry metrics) {
        counters.starts().keySet().forEach(rank -> publishRank(metrics, rank));
        counters.refusals().keySet().forEach(rank -> publishRank(metrics, rank));
        counters.busiestAccounts(BUSIEST_ACCOUNTS).stream()
                .filter(account -> accounts.size() < MAX_ACCOUNT_SERIES && accounts.add(account))
                .forEach(account -> metrics.counter(
                        "admission.work.seconds",
                        "Work admitted as controller, in seconds of a whole pool, of the busiest accounts",
                        counters,
                        c -> c.workByAccount().getOrDefault(account, 0.0),
                        "account",
                        account));
    }

    private void publishRank(MetricsRegistry metrics, int rank) {
        if (!ranks.add(rank)) {
            return;
        }
        String label = Integer.toString(rank);
        metrics.counter(
                "admission.starts",
                "Requests started as controller",
                counters,
                c -> c.starts().getOrDefault(rank, 0L),
                "rank",
                label);
        metrics.counter(
                "admission.refusals",
                "Requests refused as controller",
                counters,
                c -> c.refusals().getOrDefault(rank, 0L),
                "rank",
                label);
        metrics.gauge(
                "admission.waiting",
                "Requests that wait at this controller",
                starts,
                s -> s.waitingCount(rank),
                "rank",
                label);
    }
}
