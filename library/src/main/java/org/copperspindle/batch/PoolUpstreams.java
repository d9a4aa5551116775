package org.copperspindle.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.copperspindle.discovery.UpstreamDirectory;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.BatchLimits;

/**
 * The upstreams of one pool, as the node that packs its calls knows them: which of them a call may go to, which are left alone
 * since they are slow, and how loaded all are together.
 */
final class PoolUpstreams {

    /** An upstream so much slower than the fastest gets no call that a faster one would finish before. */
    private static final double SLOW = 2.0;

    /**
     * A pool is behind when so many full calls wait for each of its upstreams. With one full call for the whole pool as the
     * bound, a pool of thirty upstreams was always behind, since groups that wait for an upstream of their failure domain count
     * as well, and its pieces read most of their inputs from other failure domains.
     */
    private static final double BEHIND_CALLS = 0.5;

    /** Told when no upstream of the pool can be used. */
    private static final long LONGEST_WAIT_NANOS = Duration.ofSeconds(2).toNanos();

    /** Requests that an upstream gets for a call: the call itself, and what makes it forget the results. */
    private static final int CALLS_A_BATCH = 2;

    private static final double NANOS_PER_SECOND = 1e9;

    private final String pool;
    private final UpstreamDirectory directory;
    private final Map<String, StageUpstream> byId = new LinkedHashMap<>();
    private List<UpstreamRecord> ready = List.of();
    private CallAdmission admission = CallAdmission.ALL;

    PoolUpstreams(String pool, UpstreamDirectory directory) {
        this.pool = pool;
        this.directory = directory;
    }

    void limitCallsWith(CallAdmission bound) {
        admission = bound;
    }

    Collection<StageUpstream> all() {
        return byId.values();
    }

    /** Takes over what is announced now. */
    void refresh() {
        ready = directory.ready(pool);
        ready.forEach(news -> byId.compute(news.id(), (id, known) -> known(known, news)));
        byId.values().removeIf(u -> u.calls() == 0 && !isReady(u));
    }

    /** Says whether an upstream may be called at all: it has neither left, nor drains, nor is its failure domain evacuated. */
    boolean isReady(StageUpstream upstream) {
        return ready.contains(upstream.news());
    }

    /** Says whether an upstream bears less than others for a while. */
    boolean isCold(StageUpstream upstream, long now) {
        return directory.isCold(upstream.news(), now);
    }

    /** Says whether an upstream takes one more request now, whatever it is. */
    boolean mayCall(StageUpstream upstream) {
        return admission.mayCall(upstream.news().id());
    }

    /** Notes that an upstream gets a call that makes pieces. */
    void calls(StageUpstream upstream) {
        admission.recordCall(upstream.news().id());
        upstream.worked();
    }

    /** Notes that an upstream is told which results it may forget. */
    void frees(StageUpstream upstream) {
        admission.recordCall(upstream.news().id());
    }

    Optional<StageUpstream> findByAddress(String address) {
        return byId.values().stream()
                .filter(u -> u.news().address().equals(address))
                .findFirst();
    }

    /** Returns the upstreams that a call may go to now, the fastest first. */
    List<StageUpstream> callable(BatchLimits limits, long now) {
        return byId.values().stream()
                .filter(u -> u.isFree(limits, now) && isReady(u) && mayWork(u))
                .sorted(Comparator.comparingDouble(StageUpstream::slowness))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    /** Returns the upstreams so slow that a faster one, which is busy now, will end another call before them. */
    List<StageUpstream> leftAlone(long now) {
        double slow = slowFrom(now);
        boolean fastBusy = byId.values().stream().anyMatch(u -> u.calls() > 0 && u.slowness() <= slow);
        return byId.values().stream()
                .filter(u -> fastBusy && u.slowness() > slow)
                .collect(Collectors.toCollection(ArrayList::new));
    }

    boolean isSlow(StageUpstream upstream, long now) {
        return upstream.slowness() > slowFrom(now);
    }

    /**
     * Says whether an upstream of a failure domain is free within a time.
     *
     * @param domain the failure domain
     * @param nanos  the time
     * @param now    monotonic time in nanoseconds
     */
    boolean isSoonFree(String domain, long nanos, long now) {
        return byId.values().stream()
                .anyMatch(u -> !isAway(u, now)
                        && isReady(u)
                        && u.news().failureDomain().equals(domain)
                        && u.busyNanos(now) < nanos);
    }

    /**
     * Returns how loaded the pool is. Slow upstreams get no calls under load: counted as free, they made waits look shorter
     * than they were.
     *
     * @param limits  limits of the pool; empty if they are not known
     * @param waiting pieces that wait
     * @param now     monotonic time in nanoseconds
     */
    PoolLoad load(Optional<BatchLimits> limits, int waiting, long now) {
        List<StageUpstream> usable = usable(now);
        if (limits.isEmpty() || usable.isEmpty()) {
            return byId.isEmpty() ? PoolLoad.UNKNOWN : new PoolLoad(LONGEST_WAIT_NANOS, 0, 0);
        }
        long soonest = usable.stream().mapToLong(u -> u.busyNanos(now)).min().orElseThrow();
        BatchLimits each = limits.get();
        double perNano = usable.stream()
                .mapToDouble(u -> each.maxPieces() / Math.max(each.fullCallNanos() * u.slowness(), spacingNanos(u)))
                .sum();
        return new PoolLoad(soonest + (long) (waiting / perNano), perNano * NANOS_PER_SECOND, 0);
    }

    /**
     * Says whether so much waits that it is better made anywhere than where its inputs are.
     *
     * @param limits  limits of the pool
     * @param waiting pieces that wait
     * @param now     monotonic time in nanoseconds
     */
    boolean isBehind(BatchLimits limits, int waiting, long now) {
        return waiting >= BEHIND_CALLS * limits.maxPieces() * usable(now).size();
    }

    /**
     * Says whether an upstream may get pieces. Where the number of its calls is limited, every other one makes it forget results:
     * without that its memory would stay full for as long as it keeps them by itself.
     */
    private boolean mayWork(StageUpstream upstream) {
        boolean limited = spacingNanos(upstream) > 0;
        return mayCall(upstream) && !(limited && upstream.shouldFreeFirst());
    }

    private boolean isAway(StageUpstream upstream, long now) {
        return upstream.isPaused(now) || admission.isBackingOff(upstream.news().id());
    }

    /** Returns how far apart its calls that make pieces are at least. */
    private long spacingNanos(StageUpstream upstream) {
        return CALLS_A_BATCH * admission.spacingNanos(upstream.news().id());
    }

    private List<StageUpstream> usable(long now) {
        double slow = slowFrom(now);
        return byId.values().stream()
                .filter(u -> !isAway(u, now) && u.slowness() <= slow && isReady(u))
                .toList();
    }

    /** Returns what is known of an upstream. A restart under the same id has forgotten its results and its calls. */
    private static StageUpstream known(StageUpstream known, UpstreamRecord news) {
        if (known == null || known.news().incarnation() != news.incarnation()) {
            return new StageUpstream(news);
        }
        known.news(news);
        return known;
    }

    /**
     * Returns the slowness above which an upstream counts as slow beside the fastest that is in use. One that takes as long as
     * stated never does: answers without results come at once, and beside their upstream all others looked slow.
     */
    private double slowFrom(long now) {
        double fastest = byId.values().stream()
                .filter(u -> !u.isPaused(now))
                .mapToDouble(StageUpstream::slowness)
                .min()
                .orElse(1);
        return SLOW * Math.max(1, fastest);
    }
}
