package org.copperspindle.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteStage;
import org.copperspindle.route.RouteTable;

/**
 * Groups of stage pools that are used together by routes, directly or through other routes. Each group is named after
 * its first pool by name, so that all nodes with the same route table agree on it.
 */
public final class PoolGroups implements StartPolicy.Groups {

    /**
     * Smallest part of the timeout that the objective of a deferrable route has: its requests have time to wait for
     * more urgent ones and still be on time.
     */
    private static final double DEFERRABLE_FRACTION = 0.5;

    private final Map<String, String> groupByPool;
    private final Set<String> coordinatedGroups = new HashSet<>();

    private PoolGroups(List<Route> routes) {
        this.groupByPool = connect(routes);
        routes.stream()
                .filter(route -> isDeferrable(route, routes))
                .flatMap(route -> groupOf(route).stream())
                .forEach(coordinatedGroups::add);
    }

    /**
     * Returns the groups of a route table.
     *
     * @param table the table
     * @return its pool groups
     */
    public static PoolGroups of(RouteTable table) {
        return new PoolGroups(table.routes());
    }

    /**
     * Returns the group of a pool.
     *
     * @param pool name of the pool
     * @return name of the first pool of its group; empty if no stage uses the pool
     */
    @Override
    public Optional<String> groupOf(String pool) {
        return Optional.ofNullable(groupByPool.get(pool));
    }

    /**
     * Returns whether requests of a route are decided together with those of other nodes while pools are short.
     *
     * @param route a route of the table
     * @return true if it has stages and a route in the group of its pools is deferrable
     */
    @Override
    public boolean isCoordinated(Route route) {
        return groupOf(route).filter(coordinatedGroups::contains).isPresent();
    }

    /**
     * Returns the pools whose requests are decided together with those of other nodes while pools are short.
     *
     * @return names of the pools of all groups with a deferrable route
     */
    public Set<String> coordinatedPools() {
        return groupByPool.entrySet().stream()
                .filter(entry -> coordinatedGroups.contains(entry.getValue()))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }

    private Optional<String> groupOf(Route route) {
        return route.stages().stream().findFirst().flatMap(stage -> groupOf(stage.pool()));
    }

    /** Returns whether a route leaves time to wait, and shares a pool with a route that may be more or less urgent. */
    private static boolean isDeferrable(Route route, List<Route> routes) {
        return route.objective().toNanos()
                        >= DEFERRABLE_FRACTION * route.timeout().toNanos()
                && routes.stream().anyMatch(other -> other.priority() != route.priority() && sharePool(route, other));
    }

    private static boolean sharePool(Route route, Route other) {
        return route.stages().stream()
                .anyMatch(stage -> other.stages().stream()
                        .anyMatch(otherStage -> otherStage.pool().equals(stage.pool())));
    }

    private static Map<String, String> connect(List<Route> routes) {
        Map<String, TreeSet<String>> groups = new TreeMap<>();
        for (Route route : routes) {
            TreeSet<String> joined = new TreeSet<>();
            for (RouteStage stage : route.stages()) {
                joined.add(stage.pool());
                joined.addAll(groups.getOrDefault(stage.pool(), new TreeSet<>()));
            }
            joined.forEach(pool -> groups.put(pool, joined));
        }
        Map<String, String> names = new HashMap<>();
        groups.forEach((pool, group) ->
                names.put(pool, group.stream().min(Comparator.naturalOrder()).orElse(pool)));
        return names;
    }
}
