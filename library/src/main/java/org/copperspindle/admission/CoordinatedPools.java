package org.copperspindle.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * What one route table says of the admission across nodes: its coordinated routes, the groups of their pools and the
 * weights of the accounts. Computed once per table.
 */
final class CoordinatedPools {

    private static final double DEFAULT_WEIGHT = 1;

    private final RouteTable table;
    private final Map<String, Route> routes = new HashMap<>();
    private final Map<String, String> groupsByPool = new HashMap<>();
    private final Map<String, List<UpstreamPool>> poolsByGroup = new TreeMap<>();
    private final Map<String, Double> weights = new HashMap<>();

    CoordinatedPools(RouteTable table, StartPolicy policy) {
        this.table = table;
        StartPolicy.Groups groups = policy.groups().apply(table);
        for (Route route : table.routes()) {
            if (!route.stages().isEmpty() && groups.isCoordinated(route)) {
                routes.put(route.name(), route);
            }
        }
        for (UpstreamPool pool : table.pools()) {
            groups.groupOf(pool.name()).filter(this::isUsed).ifPresent(group -> {
                groupsByPool.put(pool.name(), group);
                poolsByGroup.computeIfAbsent(group, g -> new ArrayList<>()).add(pool);
            });
        }
        for (ClientAccount account : routes.isEmpty() ? List.<ClientAccount>of() : table.accounts()) {
            weights.put(account.name(), policy.weights().applyAsDouble(account));
        }
    }

    RouteTable table() {
        return table;
    }

    /** Returns the names of the groups, in order. */
    Set<String> groups() {
        return poolsByGroup.keySet();
    }

    List<UpstreamPool> pools(String group) {
        return poolsByGroup.getOrDefault(group, List.of());
    }

    Optional<String> groupOf(String pool) {
        return Optional.ofNullable(groupsByPool.get(pool));
    }

    /** Returns the coordinated route of that name. */
    Optional<Route> findRoute(String name) {
        return Optional.ofNullable(routes.get(name));
    }

    /** Returns the group whose pools a request needs; empty if its start is not coordinated. */
    Optional<String> groupOf(StagedRequest request) {
        if (!routes.containsKey(request.route().name())) {
            return Optional.empty();
        }
        for (int stage = 0; stage < request.route().stages().size(); stage++) {
            if (request.needsStage(stage)) {
                return groupOf(request.stagePool(stage));
            }
        }
        return Optional.empty();
    }

    double weight(String account) {
        return weights.getOrDefault(account, DEFAULT_WEIGHT);
    }

    /** Returns whether a coordinated route uses a group. */
    private boolean isUsed(String group) {
        return !routes.isEmpty() && table.findPool(group).isPresent();
    }
}
