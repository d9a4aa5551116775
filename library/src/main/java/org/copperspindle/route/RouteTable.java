package org.copperspindle.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration of a deployment: routes, pools, client accounts and limits. Immutable and always
 * checked, see {@link RouteTableCheck}.
 */
public final class RouteTable {

    private final long version;
    private final List<Route> routes;
    private final Map<String, List<Route>> routesByHost = new HashMap<>();
    private final Map<String, UpstreamPool> pools = new HashMap<>();
    private final List<ClientAccount> accounts;
    private final Map<String, ClientAccount> accountsByKey = new HashMap<>();
    private final boolean keyed;
    private final CallerLimits limits;

    /**
     * Creates a table.
     *
     * @param version  its version
     * @param routes   its routes
     * @param pools    its pools
     * @param accounts client accounts; empty if the deployment declares none, and then no request needs a key
     * @param limits   limits on callers
     */
    public RouteTable(
            long version,
            List<Route> routes,
            List<UpstreamPool> pools,
            Optional<List<ClientAccount>> accounts,
            CallerLimits limits) {
        this.version = version;
        this.routes = List.copyOf(routes);
        this.accounts = List.copyOf(accounts.orElse(List.of()));
        this.keyed = accounts.isPresent();
        this.limits = limits;
        for (Route route : this.routes) {
            routesByHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
        }
        // The longest prefix takes precedence, so that the first match in this order is the route.
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed();
        routesByHost.values().forEach(list -> list.sort(longestFirst));
        pools.forEach(pool -> this.pools.put(pool.name(), pool));
        this.accounts.forEach(account -> account.keys().forEach(key -> accountsByKey.put(key, account)));
    }

    /**
     * Returns the version.
     *
     * @return higher for newer tables
     */
    public long version() {
        return version;
    }

    /**
     * Returns the routes.
     *
     * @return in the order of the configuration
     */
    public List<Route> routes() {
        return routes;
    }

    /**
     * Returns the pools.
     *
     * @return in no order
     */
    public Collection<UpstreamPool> pools() {
        return pools.values();
    }

    /**
     * Returns the client accounts.
     *
     * @return in the order of the configuration
     */
    public List<ClientAccount> accounts() {
        return accounts;
    }

    /**
     * Returns the limits on callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }

    /**
     * Returns whether requests need a key unless their route is open.
     *
     * @return true if the table declares client accounts
     */
    public boolean isKeyed() {
        return keyed;
    }

    /**
     * Finds the route of a request.
     *
     * @param host host named by the request, with or without a port
     * @param path its path as in the request line
     * @return the route of that host with the longest prefix of the path
     */
    public Optional<Route> findRoute(String host, String path) {
        int colon = host.indexOf(':');
        String name = colon < 0 ? host : host.substring(0, colon);
        for (Route route : routesByHost.getOrDefault(name, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Finds a pool.
     *
     * @param name its name
     * @return the pool
     */
    public Optional<UpstreamPool> findPool(String name) {
        return Optional.ofNullable(pools.get(name));
    }

    /**
     * Returns whether the upstreams of a pool are engines.
     *
     * @param pool name of the pool
     * @return false also for a pool that is not in this table
     */
    public boolean hasEngines(String pool) {
        return findPool(pool).filter(each -> each.engineSlots().isPresent()).isPresent();
    }

    /**
     * Returns how long upstreams stay cold after their start.
     *
     * @return nanoseconds by name of the pool, only for pools that have a limit
     */
    public Map<String, Long> coldNanosByPool() {
        return pools().stream()
                .filter(pool -> pool.cold().isPresent())
                .collect(Collectors.toMap(
                        UpstreamPool::name, pool -> pool.cold().get().time().toNanos()));
    }

    /**
     * Finds the client account that holds a key.
     *
     * @param key the key
     * @return its account
     */
    public Optional<ClientAccount> findAccount(String key) {
        return Optional.ofNullable(accountsByKey.get(key));
    }
}
