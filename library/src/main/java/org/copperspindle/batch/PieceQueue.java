package org.copperspindle.batch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.copperspindle.route.BatchLimits;

/**
 * The groups that wait for calls of one pool, and the order in which they are dispatched.
 *
 * <p>Groups of interrupted streams that can still be in time go before all others, and then the rest of a group that
 * was split to fill a call, whose first results hold memory.
 *
 * <p>The order of the others is designed for bursts that demand up to two and a half times the throughput of the pool
 * for several seconds. Groups whose request can still meet its objective go first, ordered by the time left and to a
 * small degree by rank; groups that are already late get the remaining capacity. Ordered by rank alone, the least
 * urgent groups would wait until their inputs expire; which requests start at all is decided before their first stage.
 * In order of arrival, every request would wait longest just when most of them could still be on time.
 */
final class PieceQueue {

    /** Slack that one rank is worth: the three ranks of routes span a fraction of a call. */
    private static final long RANK_NANOS = 40_000_000L;

    private static final CallPacking WHOLE_GROUPS = new WholeGroupPacking();
    private static final CallPacking FULL_CALLS = new FullCallPacking();

    private final Map<String, WaitingGroup> groups = new LinkedHashMap<>();
    private BooleanSupplier isShort = () -> false;
    private long splits;

    /** Sets whether the pool is short of capacity, so that calls are filled; without it, it never is. */
    void fillCallsWhile(BooleanSupplier poolIsShort) {
        isShort = poolIsShort;
    }

    void add(WaitingGroup group) {
        groups.put(key(group.origin(), group.group().id()), group);
    }

    /** Removes and cancels a group; returns it if it was waiting here. */
    Optional<WaitingGroup> cancel(String origin, long id) {
        Optional<WaitingGroup> group = Optional.ofNullable(groups.remove(key(origin, id)));
        group.ifPresent(WaitingGroup::cancel);
        return group;
    }

    /** Returns the groups that match a predicate. */
    List<WaitingGroup> find(Predicate<WaitingGroup> kind) {
        return groups.values().stream().filter(kind).toList();
    }

    /** Removes and returns the groups whose deadline has passed. */
    List<WaitingGroup> removeExpired(long now) {
        List<WaitingGroup> expired = new ArrayList<>();
        for (Iterator<WaitingGroup> all = groups.values().iterator(); all.hasNext(); ) {
            WaitingGroup group = all.next();
            if (group.isExpired(now)) {
                all.remove();
                expired.add(group);
            }
        }
        return expired;
    }

    boolean isEmpty() {
        return groups.isEmpty();
    }

    int groups() {
        return groups.size();
    }

    int pieces() {
        return groups.values().stream().mapToInt(g -> g.missing().size()).sum();
    }

    /** Returns the pieces that wait in groups of interrupted streams that can still be in time. */
    int resumedPieces(BatchLimits limits, long now) {
        return groups.values().stream()
                .filter(g -> g.isResumedInTime(limits, now))
                .mapToInt(g -> g.missing().size())
                .sum();
    }

    /** Returns the number of groups that were split to fill a call. */
    long splits() {
        return splits;
    }

    /**
     * Takes the pieces of the next call. It is filled by splitting a group if the pool is short and pieces for a full
     * call wait; see {@link FullCallPacking}. Otherwise groups are kept whole; see {@link WholeGroupPacking}.
     *
     * <p>Groups that prefer another upstream wait for it while the pool keeps up. While the pool is behind they come
     * after the others, so that calls are full and most bytes still stay within a failure domain. The rest of a group
     * that was split to fill a call does not wait: its first results hold memory.
     *
     * <p>Groups of a call that was lost with its connection are partitioned: they share calls only with groups of
     * their own partition.
     *
     * @param limits  limits of the pool
     * @param bounds  bounds of the call
     * @param now     monotonic time in nanoseconds
     * @param prefers whether a group should go to this upstream now rather than wait for another
     * @return the pieces; none if nothing fits
     */
    List<PieceTask> take(BatchLimits limits, CallBounds bounds, long now, Predicate<WaitingGroup> prefers) {
        boolean fills = bounds.pieces() >= limits.maxPieces() && isShort.getAsBoolean();
        Set<WaitingGroup> preferred = groups.values().stream()
                .filter(group -> group.isSplit() || prefers.test(group))
                .collect(Collectors.toCollection(LinkedHashSet::new));
        List<WaitingGroup> order = new ArrayList<>(bounds.takesAll() ? groups.values() : preferred);
        // A group is split at most once: with too little memory here, its rest waits for the next upstream.
        order.removeIf(group -> !fills && group.isSplit() && !fits(group, limits, bounds));
        // Filled calls take their full duration: groups with less time left would be late in all of them.
        long call = fills ? limits.fullCallNanos() : halfCallNanos(limits);
        Comparator<WaitingGroup> urgency = byUrgency(limits, (long) (call * bounds.pace()), now, preferred);
        order.sort(fills ? urgency.thenComparing(WaitingGroup::isWhole) : urgency);
        List<PieceTask> taken = (fills ? FULL_CALLS : WHOLE_GROUPS).pack(order, limits, bounds);
        remove(taken);
        if (fills) {
            recordSplits(taken);
        }
        return taken;
    }

    /**
     * Takes the pieces of a call that carries only groups of interrupted streams that can still be in time.
     *
     * @param limits limits of the pool
     * @param bounds bounds of the call
     * @param now    monotonic time in nanoseconds
     * @return the pieces; none if nothing fits
     */
    List<PieceTask> takeResumed(BatchLimits limits, CallBounds bounds, long now) {
        List<WaitingGroup> order = new ArrayList<>(find(group -> group.isResumedInTime(limits, now)));
        order.sort(byUrgency(limits, (long) (halfCallNanos(limits) * bounds.pace()), now, Set.of()));
        List<PieceTask> taken = WHOLE_GROUPS.pack(order, limits, bounds);
        remove(taken);
        return taken;
    }

    /**
     * Takes all pieces of the least urgent group that fits into one call.
     *
     * @param limits limits of the pool
     * @param bytes  free memory for results at the upstream
     * @param now    monotonic time in nanoseconds
     * @return the pieces; none if no group fits whole
     */
    List<PieceTask> takeLeastUrgent(BatchLimits limits, long bytes, long now) {
        CallBounds bounds = new CallBounds(limits.maxPieces(), bytes, true, UpstreamPace.USUAL);
        Optional<WaitingGroup> last = groups.values().stream()
                .filter(g -> g.missing().size() <= limits.maxPieces() && g.resultBytes() <= bytes)
                .max(byUrgency(limits, halfCallNanos(limits), now, Set.of()));
        List<PieceTask> taken = WHOLE_GROUPS.pack(last.stream().toList(), limits, bounds);
        remove(taken);
        return taken;
    }

    private static boolean fits(WaitingGroup rest, BatchLimits limits, CallBounds bounds) {
        return rest.resultBytes() <= bounds.bytes() || rest.exceedsCall(limits);
    }

    private void recordSplits(List<PieceTask> taken) {
        taken.stream()
                .map(PieceTask::group)
                .distinct()
                .filter(group -> !group.missing().isEmpty() && !group.isSplit())
                .forEach(group -> {
                    group.markSplit();
                    splits++;
                });
    }

    /** Removes taken pieces from their groups, and groups of which nothing is left. */
    private void remove(List<PieceTask> taken) {
        taken.forEach(task -> task.group().missing().remove((Integer) task.piece()));
        taken.stream()
                .map(PieceTask::group)
                .filter(group -> group.missing().isEmpty())
                .forEach(
                        group -> groups.remove(key(group.origin(), group.group().id())));
    }

    private static long halfCallNanos(BatchLimits limits) {
        return limits.expectedNanos(limits.maxPieces() / 2);
    }

    private static Comparator<WaitingGroup> byUrgency(
            BatchLimits limits, long call, long now, Set<WaitingGroup> preferred) {
        return Comparator.<WaitingGroup, Urgency>comparing(g -> urgency(g, limits, call, now))
                .thenComparingInt(g -> preferred.contains(g) ? 0 : 1)
                .thenComparingLong(g -> g.slackUntil() - now + g.group().rank() * RANK_NANOS);
    }

    private static Urgency urgency(WaitingGroup group, BatchLimits limits, long call, long now) {
        if (group.isResumedInTime(limits, now)) {
            return Urgency.RESUMED;
        }
        if (group.isSplit()) {
            return Urgency.SPLIT;
        }
        if (group.isOnTime(now, call)) {
            return Urgency.ON_TIME;
        }
        return group.group().resumed() ? Urgency.RESUMED_LATE : Urgency.LATE;
    }

    private static String key(String origin, long id) {
        return origin + '/' + id;
    }

    /** Classes of groups, in the order in which they are dispatched. */
    private enum Urgency {
        RESUMED,
        SPLIT,
        ON_TIME,
        RESUMED_LATE,
        LATE
    }
}
