package org.copperspindle.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Runs with which upstreams make progress: they send events of the response. A request that crashes upstreams crashes
 * them after similar times, so a run that progresses for much longer than another one lasted shows that the other one
 * did not crash its upstream. Requests with long streams may get no complete response while several upstreams terminate.
 */
final class ProgressingRuns {

    /** Shorter progress shows nothing: the time until a request crashes an upstream varies with the load of the upstream. */
    static final long MIN_PROGRESS_MILLIS = 1000;

    /** How much longer than another run a run must progress. Upstreams differ in speed. */
    private static final int FACTOR = 2;

    /**
     * How long the progress reported by a node is used. Upstreams may run another software version later, under
     * which the same request crashes.
     */
    private static final long REPORT_WINDOW_NANOS = Duration.ofSeconds(10).toNanos();

    /** Maximum number of requests with reported progress; as many as can be suspected. */
    private static final int MAX_REPORTS = SuspicionTable.MAX_ENTRIES;

    /** Runs of this node that have not ended. */
    private final Set<UpstreamRun> runs = new HashSet<>();

    private final Map<SuspectDigest, Report> reports = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<SuspectDigest, Report> eldest) {
            return size() > MAX_REPORTS;
        }
    };

    /** Records that an upstream sent an event. */
    void recordEvent(UpstreamRun run, long now) {
        if (run.recordEvent(now)) {
            runs.add(run);
        }
    }

    /** Records that a run ended, for whatever reason. */
    void remove(UpstreamRun run) {
        runs.remove(run);
    }

    /** Adds the progress that a node reported. */
    void add(RunProgress progress, long now) {
        Report current = reports.get(progress.digest());
        if (current == null || current.isExpired(now) || progress.millis() >= current.millis()) {
            reports.remove(progress.digest());
            reports.put(progress.digest(), new Report(progress.millis(), now));
        }
    }

    /** Returns the longest progress of a suspected request at this node; empty if it is too short to show anything. */
    Optional<RunProgress> longestOf(Suspicion suspicion) {
        long millis = longestMillis(suspicion.account(), suspicion.digest());
        return millis < MIN_PROGRESS_MILLIS
                ? Optional.empty()
                : Optional.of(new RunProgress(suspicion.digest(), millis));
    }

    /** Returns whether another run of the same request progresses for much longer than a lost run lasted. */
    boolean hasOutlived(UpstreamRun lost, long now) {
        TrackedRequest request = lost.request();
        long reported = Optional.ofNullable(reports.get(request.digest()))
                .filter(report -> !report.isExpired(now))
                .map(Report::millis)
                .orElse(0L);
        long longest = Math.max(reported, longestMillis(request.account(), request.digest()));
        return longest >= Math.max(MIN_PROGRESS_MILLIS, FACTOR * lost.durationMillis());
    }

    int size() {
        return runs.size();
    }

    private long longestMillis(String account, SuspectDigest digest) {
        // Most digests are not computed yet; requests of different accounts have different ones.
        return runs.stream()
                .filter(run -> run.request().account().equals(account))
                .filter(run -> run.request().digest().equals(digest))
                .mapToLong(UpstreamRun::progressMillis)
                .max()
                .orElse(0);
    }

    private record Report(long millis, long at) {

        boolean isExpired(long now) {
            return now - at >= REPORT_WINDOW_NANOS;
        }
    }
}
