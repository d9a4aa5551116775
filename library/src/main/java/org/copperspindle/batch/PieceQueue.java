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
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.copperspindle.route.BatchLimits;

/**
 * The groups that wait for calls of one pool, and the order in which they are dispatched.
 *
 * <p>The order is designed for bursts that demand up to two and a half times the throughput of the pool for several
 * seconds. Groups whose request can still meet its objective go first, ordered by the time left and to a small degree
 * by rank; groups that are already late get the remaining capacity. Ordered by rank alone, the least urgent groups
 * would wait until their inputs expire; which requests start at all is decided before their first stage. In order of
 * arrival, every request would wait longest just when most of them could still be on time.
 */
final class PieceQueue {

    /** Slack that one rank is worth: the three ranks of routes span a fraction of a call. */
    private static final long RANK_NANOS = 40_000_000L;

    /** Number of full calls whose results must fit in the memory of an upstream for a group to be split. */
    private static final int MIN_CALLS_IN_MEMORY_TO_SPLIT = 2;

    private final Map<String, WaitingGroup> groups = new LinkedHashMap<>();
    private Supplier<Predicate<WaitingGroup>> startable = () -> group -> true;

    /** Sets which groups may be taken for calls, evaluated for each call; the others stay in the queue. */
    void takeOnly(Supplier<Predicate<WaitingGroup>> groupsToStart) {
        startable = groupsToStart;
    }

    /** Returns whether a call may be started for a group. */
    boolean isStartable(WaitingGroup group) {
        return startable.get().test(group);
    }

    void add(WaitingGroup group) {
        groups.put(key(group.origin(), group.group().id()), group);
    }

    /** Removes and cancels a group; returns it if it was waiting here. */
    Optional<WaitingGroup> cancel(String origin, long id) {
        Optional<WaitingGroup> group = remove(origin, id);
        group.ifPresent(WaitingGroup::cancel);
        return group;
    }

    /** Removes a group; returns it if it was waiting here. */
    Optional<WaitingGroup> remove(String origin, long id) {
        return Optional.ofNullable(groups.remove(key(origin, id)));
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

    /**
     * Takes the pieces of the next call. While there are enough pieces for a full call, a group that does not fit as
     * a whole is split: the rest goes into the next call, which would otherwise have carried all of it, and the extra
     * places are free; whole groups would leave places empty while pieces wait. With fewer pieces a group is kept
     * whole, since its request would have to wait for the later of two calls.
     *
     * <p>Groups that prefer another upstream wait for it while the pool keeps up. While the pool is behind they come
     * after the others, so that calls are full and most bytes still stay within a failure domain.
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
        boolean fullCallWaits = bounds.pieces() >= limits.maxPieces();
        List<WaitingGroup> candidates = find(startable.get());
        Set<WaitingGroup> preferred =
                candidates.stream().filter(prefers).collect(Collectors.toCollection(LinkedHashSet::new));
        List<WaitingGroup> order = new ArrayList<>(bounds.takesAll() ? candidates : preferred);
        order.sort(byUrgency((long) (halfCallNanos(limits) * bounds.pace()), now, preferred));
        List<PieceTask> taken = new ArrayList<>();
        long freeBytes = bounds.bytes();
        for (WaitingGroup group : order) {
            int wanted = group.missing().size();
            int room = Math.min(
                    limits.maxPieces() - taken.size(),
                    fitting(freeBytes, group.group().resultBytes()));
            boolean full = taken.size() >= bounds.pieces();
            boolean otherPartition =
                    !taken.isEmpty() && !group.sharesCallsWith(taken.get(0).group());
            // The first group of a call is always taken: it may be larger than a call.
            boolean waitsWhole = wanted > room && !taken.isEmpty() && !(fullCallWaits && maySplit(group, limits));
            if (full || otherPartition || room <= 0 || waitsWhole) {
                continue;
            }
            int count = Math.min(wanted, room);
            take(group, count, taken);
            freeBytes -= count * group.group().resultBytes();
        }
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
        List<PieceTask> taken = new ArrayList<>();
        groups.values().stream()
                .filter(startable.get())
                .filter(g -> g.missing().size() <= limits.maxPieces() && g.resultBytes() <= bytes)
                .max(byUrgency(halfCallNanos(limits), now, Set.of()))
                .ifPresent(g -> take(g, g.missing().size(), taken));
        return taken;
    }

    private void take(WaitingGroup group, int count, List<PieceTask> taken) {
        List<Integer> first = group.missing().subList(0, count);
        first.forEach(piece -> taken.add(new PieceTask(group, piece)));
        first.clear();
        if (group.missing().isEmpty()) {
            groups.remove(key(group.origin(), group.group().id()));
        }
    }

    /**
     * Returns whether a group may be split between two calls. Its first results occupy the memory of their producer
     * until the rest is complete: split groups with large results would fill the memory of two producers, and calls
     * would go out nearly empty while many pieces wait.
     */
    private static boolean maySplit(WaitingGroup group, BatchLimits limits) {
        return limits.maxPieces() * group.group().resultBytes() * MIN_CALLS_IN_MEMORY_TO_SPLIT <= limits.resultBytes();
    }

    private static long halfCallNanos(BatchLimits limits) {
        return limits.expectedNanos(limits.maxPieces() / 2);
    }

    private static Comparator<WaitingGroup> byUrgency(long call, long now, Set<WaitingGroup> preferred) {
        return Comparator.<WaitingGroup>comparingInt(g -> g.isOnTime(now, call) ? 0 : 1)
                .thenComparingInt(g -> preferred.contains(g) ? 0 : 1)
                .thenComparingLong(g -> g.slackUntil() - now + g.group().rank() * RANK_NANOS);
    }

    private static int fitting(long bytes, long each) {
        return each <= 0 ? Integer.MAX_VALUE : (int) Math.min(Integer.MAX_VALUE, Math.max(0, bytes) / each);
    }

    private static String key(String origin, long id) {
        return origin + '/' + id;
    }
}
