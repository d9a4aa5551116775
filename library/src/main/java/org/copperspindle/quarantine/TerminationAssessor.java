package org.copperspindle.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * Decides how strongly the requests that ran at a terminated upstream, and the parts of their prompts, are suspected.
 */
final class TerminationAssessor {

    private final SuspicionExchange exchange;
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final Map<String, PoolTerminationHistory> historyByPool = new HashMap<>();

    /**
     * Creates an assessor without history.
     *
     * @param exchange receives the suspicions, and knows those of other nodes
     */
    TerminationAssessor(SuspicionExchange exchange) {
        this.exchange = exchange;
        exchange.subscribe(this::contradict);
    }

    /** Records that an upstream of a pool completed a request, whatever its response was. */
    void recordSurvivedRun(String pool, long now) {
        historyOf(pool).recordSurvivedRun(now);
    }

    /** Records that an upstream answered a request with success. */
    void recordAnswer(UpstreamRun run, long now) {
        TrackedRequest request = run.request();
        for (String part : request.sharedParts()) {
            recentAnswers.record(request.pool(), run.software(), part, now);
        }
    }

    /**
     * Suspects what ran at a terminated upstream.
     *
     * @param upstream the upstream
     * @param runs     runs of this node that were running there
     * @param now      monotonic time in nanoseconds
     */
    void onTerminated(UpstreamRecord upstream, List<UpstreamRun> runs, long now) {
        PoolTerminationHistory pool = historyOf(upstream.pool());
        Set<SuspectDigest> suspects = new HashSet<>();
        runs.forEach(run -> run.request().suspects().forEach(suspect -> suspects.add(suspect.digest())));
        pool.recordTermination(UpstreamIncarnation.of(upstream).text(), suspects, now);
        for (UpstreamRun run : runs) {
            List<Suspicion> changes = new ArrayList<>();
            run.request().suspects().forEach(suspect -> changes.add(suspicion(run, suspect, pool, now)));
            exchange.publish(changes, run.request().id());
        }
    }

    /**
     * Tells all nodes if this one has seen answers to a prompt part that becomes quarantined. The nodes that ran the
     * requests under which upstreams terminated may not have seen any.
     */
    private void contradict(Suspicion quarantined) {
        if (!quarantined.isOfPromptPart()) {
            return;
        }
        recentAnswers
                .softwareThatAnswered(quarantined, exchange.now())
                .forEach(software -> exchange.publish(List.of(quarantined.withAnswered(software)), "answered"));
    }

    private Suspicion suspicion(UpstreamRun run, Suspect suspect, PoolTerminationHistory pool, long now) {
        TrackedRequest request = run.request();
        SuspectDigest digest = suspect.digest();
        int level = levelAfter(run, suspect, pool, now);
        run.terminated(digest, level);
        String software = run.software();
        boolean answered = suspect.part()
                .filter(part -> recentAnswers.contains(request.pool(), software, part, now))
                .isPresent();
        TerminationEvidence evidence = new TerminationEvidence(
                List.of(run.incarnation().text()),
                List.of(request.digest().abbreviated()),
                List.of(software),
                answered ? List.of(software) : List.of());
        return new Suspicion(
                digest, suspect.partLabel(), run.epoch(digest), level, evidence, request.route(), request.account(), 0);
    }

    private int levelAfter(UpstreamRun run, Suspect suspect, PoolTerminationHistory pool, long now) {
        SuspectDigest digest = suspect.digest();
        Optional<Suspicion> current =
                exchange.find(digest).filter(known -> known.epoch() == run.epoch(digest) && known.isSuspected());
        List<String> with = current.map(Suspicion::upstreams).orElse(List.of());
        boolean amongOthers = pool.terminatesMoreWithout(digest, with, now);
        int step = amongOthers ? QuarantinePolicy.STEP_AMONG_OTHER_TERMINATIONS : QuarantinePolicy.STEP;
        if (!suspect.isPromptPart()) {
            return exchange.progressingRuns().hasOutlived(run, now)
                    ? run.levelWithoutRaise(digest, step)
                    : run.levelAfter(digest, step);
        }
        String abbreviated = run.request().digest().abbreviated();
        boolean sameRequest = current.filter(
                        known -> known.evidence().requests().contains(abbreviated))
                .isPresent();
        int consecutive = run.levelAfter(digest, sameRequest ? QuarantinePolicy.SMALL_STEP : step);
        int separate = current.filter(known -> run.wasAlive() && isSeparate(known, run))
                .map(known -> known.level() + QuarantinePolicy.SMALL_STEP)
                .orElse(0);
        return Math.max(consecutive, separate);
    }

    /** Returns whether the upstream of a run terminated apart from those that are known to have done so. */
    private static boolean isSeparate(Suspicion known, UpstreamRun run) {
        return known.ageMillis() >= QuarantinePolicy.MIN_SEPARATION_MILLIS
                && !known.upstreams().contains(run.incarnation().text());
    }

    private PoolTerminationHistory historyOf(String pool) {
        return historyByPool.computeIfAbsent(pool, p -> new PoolTerminationHistory());
    }
}
