package org.copperspindle.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.copperspindle.route.Route;
import org.copperspindle.route.RouteKind;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.WeightedPool;
import org.copperspindle.version.SoftwareCommand;
import org.copperspindle.version.SoftwareInUseMessage;

/**
 * Streams that callers take up in another pool than the one that began them, because a new route table sends their
 * requests there. The versions in use of the former pool may have begun them, so they are in use in the new one as well,
 * from before the table is in force until no caller takes such a stream up any more.
 */
final class MovedStreams {

    private MovedStreams() {}

    /**
     * Returns the versions whose streams a new table moves.
     *
     * @param before   table in force
     * @param after    table that follows it
     * @param software versions in use
     * @return the versions by name of the pool in which their streams are taken up; empty if none are moved
     */
    static SortedMap<String, SortedSet<String>> softwareOf(
            RouteTable before, RouteTable after, SoftwareInUseMessage software) {
        SortedMap<String, SortedSet<String>> moved = new TreeMap<>();
        List<Route> removed = removedRoutes(before, after);
        for (Route next : after.routes()) {
            if (!isResumable(next)) {
                continue;
            }
            Set<String> former = formerPools(next, before, after, removed);
            if (former.isEmpty()) {
                continue;
            }
            for (String pool : poolsOf(next)) {
                SortedSet<String> versions = moved.computeIfAbsent(pool, name -> new TreeSet<>());
                former.forEach(each -> versions.addAll(software.versions(each)));
            }
        }
        return moved;
    }

    /**
     * Returns the changes to record before a new table.
     *
     * @param before   table in force
     * @param after    table that follows it
     * @param software versions in use under the table in force
     * @return one change for each pool that lacks versions; empty if none does
     */
    static List<SoftwareCommand> changes(RouteTable before, RouteTable after, SoftwareInUseMessage software) {
        List<SoftwareCommand> changes = new ArrayList<>();
        softwareOf(before, after, software).forEach((pool, moved) -> {
            moved.removeAll(software.versions(pool));
            if (!moved.isEmpty()) {
                changes.add(new SoftwareCommand(pool, List.copyOf(moved), true));
            }
        });
        return changes;
    }

    /** Returns the pools in which streams may have begun that callers take up on a route. */
    private static Set<String> formerPools(Route next, RouteTable before, RouteTable after, List<Route> removed) {
        Set<String> former = new TreeSet<>();
        formerRoutes(next, before, after, removed)
                .filter(each -> isResumable(each) && !each.choosesLike(next))
                .forEach(each -> former.addAll(poolsOf(each)));
        return former;
    }

    /** Returns the routes on which requests of a route arrived before it was in the table. */
    private static Stream<Route> formerRoutes(Route next, RouteTable before, RouteTable after, List<Route> removed) {
        Stream<Route> narrower = removed.stream()
                .filter(each -> each.host().equals(next.host())
                        && each.pathPrefix().startsWith(next.pathPrefix())
                        && after.findRoute(each.host(), each.pathPrefix())
                                .filter(next::equals)
                                .isPresent());
        return Stream.concat(before.findRoute(next.host(), next.pathPrefix()).stream(), narrower);
    }

    /** Returns the routes whose requests arrive on other routes now. */
    private static List<Route> removedRoutes(RouteTable before, RouteTable after) {
        Set<RoutePrefix> kept = after.routes().stream().map(RoutePrefix::of).collect(Collectors.toSet());
        return before.routes().stream()
                .filter(each -> !kept.contains(RoutePrefix.of(each)))
                .toList();
    }

    private static boolean isResumable(Route route) {
        return route.kind() == RouteKind.STREAM && route.resumable();
    }

    private static List<String> poolsOf(Route route) {
        return route.pools().stream().map(WeightedPool::pool).toList();
    }

    /** What selects a route. */
    private record RoutePrefix(String host, String path) {
        static RoutePrefix of(Route route) {
            return new RoutePrefix(route.host(), route.pathPrefix());
        }
    }
}
