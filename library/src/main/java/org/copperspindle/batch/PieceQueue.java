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
import java.util.function.Supplier;
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
    private static final CallPacking RESUMED_CALLS = new WholeGroupsOnlyPacking();

    private final Map<String, WaitingGroup> groups = new LinkedHashMap<>();
    private BooleanSupplier isShort = () -> false;
    private CallPacking shortagePacking = new FullCallPacking();
    private boolean fillsCalls;
    private int resumedGroups;
    private int splitGroups;
    private long splits;
    private Supplier<Predicate<WaitingGroup>> startable = () -> group -> true;

    /** Sets which groups may be taken for calls, evaluated for each call; the others stay in the queue. */
    void takeOnly(Supplier<Predicate<WaitingGroup>> groupsToStart) {
        startable = groupsToStart;
    }

    /** Returns whether a call may be started for a group. */
    boolean isStartable(WaitingGroup group) {
        return startable.get().test(group);
    }

    /** Sets whether the pool is short of capacity, so that calls are filled; without it, it never is. */
    void fillCallsWhile(BooleanSupplier poolIsShort) {
        isShort = poolIsShort;
    }

    /** Sets how calls are packed while the pool is short of capacity; without it, they are filled. */
    void packShortCallsWith(CallPacking packing) {
        shortagePacking = packing;
    }

    /** Updates whether calls are filled. To be called before each round of calls. */
    void updateShortage() {
        fillsCalls = isShort.getAsBoolean();
    }

    /** Adds a group. One without missing pieces is refused: no call would ever take it. */
    void add(WaitingGroup group) {
        if (group.missing().isEmpty()) {
            return;
        }
        WaitingGroup replaced = groups.put(key(group.origin(), group.group().id()), group);
        count(group, 1);
        if (replaced != null) {
            count(replaced, -1);
        }
    }

    /** Removes and cancels a group; returns it if it was waiting here. */
    Optional<WaitingGroup> cancel(String origin, long id) {
        Optional<WaitingGroup> group = remove(origin, id);
        group.ifPresent(WaitingGroup::cancel);
        return group;
    }

    /** Removes a group; returns it if it was waiting here. */
    Optional<WaitingGroup> remove(String origin, long id) {
        Optional<WaitingGroup> group = Optional.ofNullable(groups.remove(key(origin, id)));
        group.ifPresent(removed -> count(removed, -1));
        return group;
    }

    /** Returns the groups that match a predicate. */
    List<WaitingGroup> find(Predicate<WaitingGroup> kind) {
        return groups.values().stream().filter(kind).toList();
    }

    /** Removes and returns the groups whose deadline has passed. */
    List<WaitingGroup> removeExpired(long now) {
        return removeAll(group -> group.isExpired(now));
    }

    /** Removes and returns the groups that match a predicate. */
    List<WaitingGroup> removeAll(Predicate<WaitingGroup> kind) {
        List<WaitingGroup> removed = new ArrayList<>();
        for (Iterator<WaitingGroup> all = groups.values().iterator(); all.hasNext(); ) {
            WaitingGroup group = all.next();
            if (kind.test(group)) {
                all.remove();
                count(group, -1);
                removed.add(group);
            }
        }
        return removed;
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
        if (resumedGroups == 0) {
            return 0;
        }
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
        List<WaitingGroup> candidates = find(startable.get());
        if (!hasMemoryForAny(candidates, bounds.bytes())) {
            return List.of();
        }
        boolean fills = fillsCalls && bounds.pieces() >= limits.maxPieces();
        Set<WaitingGroup> preferred = candidates.stream()
                .filter(group -> group.isSplit() || prefers.test(group))
                .collect(Collectors.toCollection(LinkedHashSet::new));
        List<WaitingGroup> order = new ArrayList<>(bounds.takesAll() ? candidates : preferred);
        // Filled calls take their full duration: groups with less time left would be late in all of them.
        long call = fills ? limits.fullCallNanos() : halfCallNanos(limits);
        order.sort(byUrgency(limits, (long) (call * bounds.pace()), now, preferred));
        reserveMemory(order, limits, bounds, now, fills && shortagePacking.ordersRestsFirst());
        if (!fills && (splitGroups > 0 || resumedGroups > 0)) {
            // The rest of a split group, and a group of an interrupted stream, wait for an upstream with more memory.
            order.removeIf(group -> staysTogether(group, limits, now) && !fits(group, limits, bounds));
        }
        List<PieceTask> taken = (fills ? shortagePacking : WHOLE_GROUPS).pack(order, limits, bounds);
        remove(taken);
        if (fills && shortagePacking.ordersRestsFirst()) {
            recordSplits(taken, limits);
        }
        return taken;
    }

    private static boolean hasMemoryForAny(List<WaitingGroup> candidates, long bytes) {
        return candidates.stream().anyMatch(group -> group.group().resultBytes() <= Math.max(0, bytes));
    }

    private static boolean staysTogether(WaitingGroup group, BatchLimits limits, long now) {
        return group.isSplit() || group.isResumedInTime(limits, now);
    }

    /**
     * Removes groups that would take the memory for which a group before them waits: the most urgent one if calls are
     * filled, where it is not cut, or the rest of a split one. Otherwise small groups would take the memory of each
     * released result, and large groups would never be sent. Upstreams stay in use for the duration of a full call,
     * in which another one may have the memory.
     */
    private void reserveMemory(
            List<WaitingGroup> order, BatchLimits limits, CallBounds bounds, long now, boolean keepsFirstWhole) {
        if (!keepsFirstWhole && splitGroups == 0) {
            return;
        }
        for (int i = 0; i < order.size() && (i == 0 || splitGroups > 0); i++) {
            WaitingGroup group = order.get(i);
            boolean reserves = keepsFirstWhole && i == 0 || group.isSplit();
            boolean waitedForCall = now - group.arrivedAt() >= limits.fullCallNanos();
            if (reserves && waitedForCall && !fits(group, limits, bounds) && !isCut(group, limits)) {
                order.subList(i + 1, order.size())
                        .removeIf(other -> other.group().resultBytes() > 0);
                return;
            }
        }
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
        List<WaitingGroup> order =
                new ArrayList<>(find(startable.get().and(group -> group.isResumedInTime(limits, now))));
        order.sort(byUrgency(limits, (long) (halfCallNanos(limits) * bounds.pace()), now, Set.of()));
        List<PieceTask> taken = RESUMED_CALLS.pack(order, limits, bounds);
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
                .filter(startable.get())
                .filter(g -> g.missing().size() <= limits.maxPieces() && g.resultBytes() <= bytes)
                .max(byUrgency(limits, halfCallNanos(limits), now, Set.of()));
        List<PieceTask> taken = WHOLE_GROUPS.pack(last.stream().toList(), limits, bounds);
        remove(taken);
        return taken;
    }

    /** Returns whether memory for a part of the group is enough. */
    private static boolean isCut(WaitingGroup group, BatchLimits limits) {
        return !group.isSplit() && FullCallPacking.isDivisible(group, limits);
    }

    private static boolean fits(WaitingGroup rest, BatchLimits limits, CallBounds bounds) {
        return rest.resultBytes() <= bounds.bytes() || rest.exceedsCall(limits);
    }

    /** Marks the groups of which a filled call took a part, if the rest is meant for one more call. */
    private void recordSplits(List<PieceTask> taken, BatchLimits limits) {
        if (taken.isEmpty()) {
            return;
        }
        taken.stream()
                .map(PieceTask::group)
                .distinct()
                .filter(group -> !group.missing().isEmpty() && !group.isSplit())
                .filter(group -> !group.exceedsCall(limits) && !WholeGroupPacking.hasMemoryToSplit(group, limits))
                .forEach(group -> {
                    group.markSplit();
                    splitGroups++;
                    splits++;
                });
    }

    /** Removes taken pieces from their groups, and groups of which nothing is left. */
    private void remove(List<PieceTask> taken) {
        for (int from = 0, to; from < taken.size(); from = to) {
            WaitingGroup group = taken.get(from).group();
            to = from + 1;
            while (to < taken.size() && taken.get(to).group() == group) {
                to++;
            }
            group.missing().subList(0, to - from).clear();
            if (group.missing().isEmpty()) {
                groups.remove(key(group.origin(), group.group().id()));
                count(group, -1);
            }
        }
    }

    /** Counts a group that was added or removed, so that rounds without such groups skip the passes for them. */
    private void count(WaitingGroup group, int change) {
        resumedGroups += group.group().resumed() ? change : 0;
        splitGroups += group.isSplit() ? change : 0;
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
