package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamIncarnation;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;

/**
 * The upstreams of one pool as seen by its dispatcher: which of them may be called, which are skipped because they
 * are slow, and the load of all of them together.
 */
final class PoolUpstreams {

    /**
     * Ratio to the slowness of the fastest upstream above which an upstream counts as slow; it gets no call that a
     * faster one would finish earlier.
     */
    private static final double SLOW_FACTOR = 2.0;

    /**
     * Number of waiting full calls per upstream from which a pool is behind. With one full call for the whole pool as
     * the bound, a pool of thirty upstreams was always behind, since groups that wait for an upstream in their
     * failure domain count as well, and its pieces read most of their inputs from other failure domains.
     */
    private static final double BEHIND_CALLS = 0.5;

    /** Wait time reported when no upstream of the pool is usable. */
    private static final long MAX_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Requests per call to a rate-limited upstream: the call itself and the one that releases its results. */
    private static final int REQUESTS_PER_CALL = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final String pool;
    private final UpstreamDirectory directory;
    private final Map<String, StageUpstream> byId = new LinkedHashMap<>();
    private Set<String> readyIds = Set.of();
    private CallAdmission admission = CallAdmission.ALL;
    private UpstreamPace pace = UpstreamPace.NONE;

    PoolUpstreams(String pool, UpstreamDirectory directory) {
        this.pool = pool;
        this.directory = directory;
    }

    void limitCallsWith(CallAdmission bound) {
        admission = bound;
    }

    void scaleDurationsBy(UpstreamPace stated) {
        pace = stated;
    }

    /**
     * Returns the multiple of the usual time that work takes an upstream now by its own statement, at least 1. Calls
     * are never expected to be faster because of a statement: an upstream that falsely states a pace below the usual
     * one would count as slow and be skipped.
     */
    double pace(StageUpstream upstream, long now) {
        return Math.max(UpstreamPace.USUAL, pace.factor(upstream.announced(), now));
    }

    /**
     * Returns the expected ratio of actual to stated duration of a call that is sent now; 1 is as stated. It determines
     * waits and the order of upstreams, but not which of them count as slow and are skipped: slowdowns that upstreams
     * state are short, and a pool near its capacity needs its slowed upstreams as well.
     */
    double slowness(StageUpstream upstream, long now) {
        return upstream.slowness() * pace(upstream, now);
    }

    Collection<StageUpstream> all() {
        return byId.values();
    }

    /** Returns the number of upstreams that take full load: not paused, backing off, slow or cold. */
    int usableCount(long now) {
        return (int) usable(now).stream().filter(u -> !isCold(u, now)).count();
    }

    /** Updates the upstreams from the directory. */
    void refresh() {
        List<UpstreamRecord> ready = directory.ready(pool);
        readyIds = ready.stream().map(UpstreamRecord::id).collect(Collectors.toSet());
        ready.forEach(announced -> byId.compute(announced.id(), (id, known) -> update(known, announced)));
        byId.values().removeIf(u -> u.calls() == 0 && !isReady(u));
    }

    /**
     * Returns whether an upstream is ready: it has not left, is not draining, and its failure domain is not
     * evacuated.
     */
    boolean isReady(StageUpstream upstream) {
        return readyIds.contains(upstream.announced().id());
    }

    /** Returns whether an upstream is cold and can take only a few requests for a while. */
    boolean isCold(StageUpstream upstream, long now) {
        return directory.isCold(upstream.announced(), now);
    }

    /** Returns whether an upstream takes one more request of any kind now. */
    boolean mayCall(StageUpstream upstream) {
        return admission.mayCall(upstream.announced().id());
    }

    /** Records a call that runs pieces. */
    void recordCall(StageUpstream upstream) {
        admission.recordCall(upstream.announced().id());
        upstream.markWorked();
    }

    /** Records a request that releases results. */
    void recordRelease(StageUpstream upstream) {
        admission.recordCall(upstream.announced().id());
    }

    /**
     * Finds the upstream that holds a result. Without its producer, only those can be told that this node has had made.
     */
    Optional<StageUpstream> findHolder(StageResult result) {
        UpstreamIncarnation producer = result.producer();
        if (producer.equals(UpstreamIncarnation.UNKNOWN)) {
            return byId.values().stream().filter(u -> u.holds(result.handle())).findFirst();
        }
        return Optional.ofNullable(byId.get(producer.id()))
                .filter(u -> u.incarnation().equals(producer));
    }

    /** Returns the upstreams that may be called now, the fastest first. */
    List<StageUpstream> callable(BatchLimits limits, long now) {
        return byId.values().stream()
                .filter(u -> u.isFree(limits, now) && isReady(u) && mayRunPieces(u))
                .sorted(Comparator.comparingDouble(u -> slowness(u, now)))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /**
     * Returns the slow upstreams, as long as a faster one is busy: it is likely to finish its call and another one
     * sooner.
     */
    List<StageUpstream> skippedAsSlow(long now) {
        double threshold = slowThreshold(now);
        boolean fastBusy = byId.values().stream().anyMatch(u -> u.calls() > 0 && u.slowness() <= threshold);
        return byId.values().stream()
                .filter(u -> fastBusy && u.slowness() > threshold)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    boolean isSlow(StageUpstream upstream, long now) {
        return upstream.slowness() > slowThreshold(now);
    }

    /**
     * Returns whether an upstream of a failure domain will be free within a given time.
     *
     * @param domain the failure domain
     * @param nanos  the time in nanoseconds
     * @param now    monotonic time in nanoseconds
     */
    boolean isFreeWithin(String domain, long nanos, long now) {
        return byId.values().stream()
                .anyMatch(u -> !isUnavailable(u, now)
                        && isReady(u)
                        && u.announced().failureDomain().equals(domain)
                        && u.busyNanos(now) < nanos);
    }

    /**
     * Returns the load of the pool. Slow upstreams are left out, since they get no calls under load: counted as free,
     * they made waits look shorter than they were.
     *
     * @param limits  limits of the pool; empty if they are not known
     * @param waiting pieces that wait
     * @param now     monotonic time in nanoseconds
     */
    PoolLoad load(Optional<BatchLimits> limits, int waiting, long now) {
        List<StageUpstream> usable = usable(now);
        if (limits.isEmpty() || usable.isEmpty()) {
            return byId.isEmpty() ? PoolLoad.UNKNOWN : new PoolLoad(MAX_WAIT_NANOS, 0, 0);
        }
        long soonest = usable.stream().mapToLong(u -> u.busyNanos(now)).min().orElseThrow();
        BatchLimits each = limits.get();
        double perNano = usable.stream()
                .mapToDouble(u -> each.maxPieces() / Math.max(each.fullCallNanos() * slowness(u, now), spacingNanos(u)))
                .sum();
        return new PoolLoad(soonest + (long) (waiting / perNano), perNano * NANOS_PER_SECOND, 0);
    }

    /**
     * Returns whether so many pieces wait that any free upstream is better than one near the inputs.
     *
     * @param limits  limits of the pool
     * @param waiting pieces that wait
     * @param now     monotonic time in nanoseconds
     */
    boolean isBehind(BatchLimits limits, int waiting, long now) {
        return waiting >= BEHIND_CALLS * limits.maxPieces() * usable(now).size();
    }

    /**
     * Returns whether an upstream may be sent pieces. If its request rate is limited, every other request releases
     * results; otherwise its memory would stay full until the results expire by themselves.
     */
    private boolean mayRunPieces(StageUpstream upstream) {
        boolean limited = spacingNanos(upstream) > 0;
        return mayCall(upstream) && !(limited && upstream.mustReleaseFirst());
    }

    private boolean isUnavailable(StageUpstream upstream, long now) {
        return upstream.isPaused(now)
                || admission.isBackingOff(upstream.announced().id());
    }

    /** Returns the minimum interval between calls that run pieces. */
    private long spacingNanos(StageUpstream upstream) {
        return REQUESTS_PER_CALL * admission.spacingNanos(upstream.announced().id());
    }

    private List<StageUpstream> usable(long now) {
        double threshold = slowThreshold(now);
        return byId.values().stream()
                .filter(u -> !isUnavailable(u, now) && u.slowness() <= threshold && isReady(u))
                .toList();
    }

    /**
     * Updates the state of an upstream, or starts anew: after a restart under the same id it has lost its results and
     * calls.
     */
    private static StageUpstream update(StageUpstream known, UpstreamRecord announced) {
        if (known == null || known.announced().incarnation() != announced.incarnation()) {
            return new StageUpstream(announced);
        }
        known.announced(announced);
        return known;
    }

    /**
     * Returns the slowness above which an upstream counts as slow compared with the fastest one in use. An upstream
     * that takes as long as stated is never slow: responses without results come at once, and compared with such an
     * upstream all others looked slow.
     */
    private double slowThreshold(long now) {
        double fastest = byId.values().stream()
                .filter(u -> !u.isPaused(now))
                .mapToDouble(StageUpstream::slowness)
                .min()
                .orElse(1);
        return SLOW_FACTOR * Math.max(1, fastest);
    }
}
