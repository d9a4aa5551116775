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
import java.util.stream.Collectors;

import org.copperspindle.route.BatchLimits;

/**
 * Groups that wait for calls of one pool, and which of them go next.
 *
 * <p>The load it answers: a burst asks for up to two and a half times what the pool makes, for several seconds. Then
 * groups whose request can still meet its objective go first, by how soon they must be made and a little by rank; those
 * that are late already use what is left over. By rank alone the least urgent would wait with their inputs made until
 * those are forgotten; which requests begin at all is decided before their first stage. In the order of arrival every request would wait longest just when most of
 * them could still be on time.
 */
final class PieceQueue {

    /** One rank counts as much as so much time: three ranks of routes span a part of a call. */
    private static final long RANK_NANOS = 40_000_000L;

    /** Full calls of its results for which a maker must have memory so that a group is split. */
    private static final int SPLIT_ROOM = 2;

    private final Map<String, WaitingGroup> groups = new LinkedHashMap<>();

    void add(WaitingGroup group) {
        groups.put(key(group.origin(), group.group().id()), group);
    }

    /** Drops a group; returns it if it waits here. */
    Optional<WaitingGroup> cancel(String origin, long id) {
        Optional<WaitingGroup> group = Optional.ofNullable(groups.remove(key(origin, id)));
        group.ifPresent(WaitingGroup::cancel);
        return group;
    }

    /** Returns the groups of some kind. */
    List<WaitingGroup> find(Predicate<WaitingGroup> kind) {
        return groups.values().stream().filter(kind).toList();
    }

    /** Takes out the groups whose time is over. */
    List<WaitingGroup> takeOver(long now) {
        List<WaitingGroup> over = new ArrayList<>();
        for (Iterator<WaitingGroup> all = groups.values().iterator(); all.hasNext(); ) {
            WaitingGroup group = all.next();
            if (group.isOver(now)) {
                all.remove();
                over.add(group);
            }
        }
        return over;
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
     * Takes the pieces of the next call. While a full call waits, a group that does not fit whole is split: the rest goes with
     * the next call, with which all of it would have gone, and the places cost nothing; whole groups leave places empty while
     * pieces wait. With less to do a group stays whole, since its request waits for the later of two calls.
     *
     * <p>Groups that should rather wait for another upstream do so while the pool keeps up. While it is behind they come after
     * the others, so that calls are full and bytes still mostly stay in a failure domain.
     *
     * <p>Groups of a call that was lost with its connection are parted: they share calls with groups of their lot only.
     *
     * @param limits   limits of the pool
     * @param bounds   what the upstream's call may take
     * @param now      monotonic time in nanoseconds
     * @param prefers  whether a group should go to this upstream rather than wait for another
     * @return the pieces; none if nothing fits
     */
    List<PieceTask> take(BatchLimits limits, CallBounds bounds, long now, Predicate<WaitingGroup> prefers) {
        boolean fullCallWaits = bounds.pieces() >= limits.maxPieces();
        Set<WaitingGroup> preferred =
                groups.values().stream().filter(prefers).collect(Collectors.toCollection(LinkedHashSet::new));
        List<WaitingGroup> order = new ArrayList<>(bounds.takesAll() ? groups.values() : preferred);
        order.sort(byUrgency(limits, now, preferred));
        List<PieceTask> taken = new ArrayList<>();
        long left = bounds.bytes();
        for (WaitingGroup group : order) {
            int wanted = group.missing().size();
            int room = Math.min(
                    limits.maxPieces() - taken.size(),
                    fitting(left, group.group().resultBytes()));
            boolean enough = taken.size() >= bounds.pieces();
            boolean parted =
                    !taken.isEmpty() && !group.sharesCallsWith(taken.get(0).group());
            // The first group of a call goes in any case: it may be larger than a call.
            boolean waitsWhole = wanted > room && !taken.isEmpty() && !(fullCallWaits && maySplit(group, limits));
            if (enough || parted || room <= 0 || waitsWhole) {
                continue;
            }
            int count = Math.min(wanted, room);
            take(group, count, taken);
            left -= count * group.group().resultBytes();
        }
        return taken;
    }

    /**
     * Takes the pieces of the group that loses least by a late call, as many as one call takes.
     *
     * @param limits limits of the pool
     * @param bytes  memory for results that the upstream has left
     * @param now    monotonic time in nanoseconds
     * @return the pieces; none if no group fits whole
     */
    List<PieceTask> takeLeastUrgent(BatchLimits limits, long bytes, long now) {
        List<PieceTask> taken = new ArrayList<>();
        groups.values().stream()
                .filter(g -> g.missing().size() <= limits.maxPieces() && g.resultBytes() <= bytes)
                .max(byUrgency(limits, now, Set.of()))
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
     * Says whether a group may be made by two calls. Its first results fill their maker's memory until the rest is there:
     * split groups of large ones would take two makers' whole memory, and calls go out nearly empty while many pieces wait.
     */
    private static boolean maySplit(WaitingGroup group, BatchLimits limits) {
        return limits.maxPieces() * group.group().resultBytes() * SPLIT_ROOM <= limits.resultBytes();
    }

    private static Comparator<WaitingGroup> byUrgency(BatchLimits limits, long now, Set<WaitingGroup> preferred) {
        long call = limits.expectedNanos(limits.maxPieces() / 2);
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
