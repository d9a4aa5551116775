package org.copperspindle.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The subset of each pool that one entry sends work to. A routing decision examines every upstream of the subset, so
 * its cost does not grow with the fleet. Upstreams are ranked by rendezvous hashing for this entry and taken from the
 * failure domains in turn: each entry reaches all failure domains, the entries together load all upstreams evenly,
 * and a membership change alters the subset only slightly.
 */
public final class PoolSubset {

    /** Maximum number of upstreams of a pool and model that one entry uses; smaller pools are used completely. */
    public static final int SIZE = 64;

    private final FleetView fleet;
    private final long entrySeed;
    private final Map<String, Map<String, List<UpstreamView>>> byPool = new HashMap<>();
    private long revision = -1;

    /**
     * Creates subsets.
     *
     * @param fleet     upstreams known to the entry
     * @param entrySeed seed that differs between entries and is stable across restarts
     */
    public PoolSubset(FleetView fleet, long entrySeed) {
        this.fleet = fleet;
        this.entrySeed = entrySeed;
    }

    /**
     * Returns the upstreams to choose from.
     *
     * @param pool  the pool
     * @param model model that they must serve, empty for any
     * @return at most {@link #SIZE} upstreams, including draining ones
     */
    public List<UpstreamView> of(String pool, String model) {
        if (fleet.revision() != revision) {
            byPool.clear();
            revision = fleet.revision();
        }
        Map<String, List<UpstreamView>> byModel = byPool.get(pool);
        List<UpstreamView> found = byModel == null ? null : byModel.get(model);
        if (found == null) {
            found = pick(fleet.pool(pool), model);
            byPool.computeIfAbsent(pool, name -> new HashMap<>()).put(model, found);
        }
        return found;
    }

    private List<UpstreamView> pick(List<UpstreamView> pool, String model) {
        List<UpstreamView> ranked =
                new ArrayList<>(pool.stream().filter(view -> view.serves(model)).toList());
        if (ranked.size() <= SIZE) {
            return ranked;
        }
        ranked.sort(Comparator.comparingLong((UpstreamView view) -> Rendezvous.weight(entrySeed, view.idHash()))
                .reversed()
                .thenComparing(view -> view.announcement().upstreamId()));
        Map<String, List<UpstreamView>> byDomain = new TreeMap<>();
        ranked.forEach(
                view -> byDomain.computeIfAbsent(view.announcement().failureDomain(), domain -> new ArrayList<>())
                        .add(view));
        return takeInTurn(byDomain);
    }

    private static List<UpstreamView> takeInTurn(Map<String, List<UpstreamView>> byDomain) {
        List<Iterator<UpstreamView>> domains =
                byDomain.values().stream().map(List::iterator).toList();
        List<UpstreamView> taken = new ArrayList<>(SIZE);
        while (taken.size() < SIZE) {
            for (Iterator<UpstreamView> domain : domains) {
                if (domain.hasNext() && taken.size() < SIZE) {
                    taken.add(domain.next());
                }
            }
        }
        return taken;
    }
}
