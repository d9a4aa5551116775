package org.copperspindle.route;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Checks a table as a whole. A table that fails is rejected before any of it is recorded.
 */
public final class RouteTableCheck {

    private RouteTableCheck() {}

    /**
     * Finds what makes a table invalid.
     *
     * @param table    the table
     * @param declared names of its pools as listed in the configuration
     * @return the first problem found, as a text that names the section, the entry and the key
     */
    public static Optional<String> findProblem(RouteTable table, List<String> declared) {
        return findDuplicatePool(declared)
                .or(() -> findDuplicateRoute(table))
                .or(() -> findInvalidRoute(table))
                .or(() -> findSharedKey(table));
    }

    private static Optional<String> findDuplicatePool(List<String> declared) {
        Set<String> seen = new HashSet<>();
        return declared.stream()
                .filter(name -> !seen.add(name))
                .findFirst()
                .map(name -> "pool " + name + " is declared twice");
    }

    private static Optional<String> findDuplicateRoute(RouteTable table) {
        Map<String, String> routeNames = new HashMap<>();
        for (Route route : table.routes()) {
            String other = routeNames.putIfAbsent(route.host() + ' ' + route.pathPrefix(), route.name());
            if (other != null) {
                return Optional.of("routes " + other + " and " + route.name() + " have the same host and path prefix");
            }
        }
        return Optional.empty();
    }

    private static Optional<String> findInvalidRoute(RouteTable table) {
        return table.routes().stream()
                .flatMap(route -> findProblem(table, route).stream())
                .findFirst();
    }

    private static Optional<String> findProblem(RouteTable table, Route route) {
        String prefix = route.pathPrefix();
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            return problem(route, "path prefix must begin and end with a slash: " + prefix);
        }
        if (route.timeout().isZero() || route.timeout().isNegative()) {
            return problem(route, "timeout must be above 0");
        }
        if (route.pools().stream().anyMatch(p -> p.weight() < 0)) {
            return problem(route, "weights must not be negative");
        }
        if (route.pools().stream().mapToInt(WeightedPool::weight).sum() <= 0) {
            return problem(route, "weights add up to 0");
        }
        for (WeightedPool pool : route.pools()) {
            if (table.findPool(pool.pool()).isEmpty()) {
                return problem(route, "unknown pool " + pool.pool());
            }
        }
        return findStageProblem(table, route);
    }

    private static Optional<String> findStageProblem(RouteTable table, Route route) {
        for (int number = 0; number < route.stages().size(); number++) {
            RouteStage stage = route.stages().get(number);
            if (table.findPool(stage.pool()).isEmpty()) {
                return problem(route, "stage " + number + " names unknown pool " + stage.pool());
            }
            if (table.findPool(stage.pool()).orElseThrow().batchLimits().isEmpty()) {
                return problem(route, "stage " + number + " names pool " + stage.pool() + " that runs no pieces");
            }
            if (stage.after().stream()
                    .anyMatch(n -> n < 0 || n >= route.stages().size())) {
                return problem(route, "stage " + number + " follows a stage that the route does not have");
            }
        }
        return hasCycle(route.stages()) ? problem(route, "its stages follow each other in a circle") : Optional.empty();
    }

    private static boolean hasCycle(List<RouteStage> stages) {
        Set<Integer> done = new HashSet<>();
        boolean progress = true;
        while (progress) {
            progress = false;
            for (int number = 0; number < stages.size(); number++) {
                if (done.containsAll(stages.get(number).after())) {
                    progress |= done.add(number);
                }
            }
        }
        return done.size() < stages.size();
    }

    private static Optional<String> findSharedKey(RouteTable table) {
        Map<String, String> accountNames = new HashMap<>();
        for (ClientAccount account : table.accounts()) {
            for (String key : account.keys()) {
                String other = accountNames.putIfAbsent(key, account.name());
                if (other != null && !other.equals(account.name())) {
                    return Optional.of("client accounts " + other + " and " + account.name() + " share a key");
                }
            }
        }
        return Optional.empty();
    }

    private static Optional<String> problem(Route route, String text) {
        return Optional.of("route " + route.name() + ": " + text);
    }
}
