package org.copperspindle.gateway;

import java.util.Optional;
import java.util.stream.IntStream;

import org.copperspindle.quarantine.RequestDigest;
import org.copperspindle.quarantine.TrackedRequest;
import org.copperspindle.route.BatchLimits;
import org.copperspindle.route.ClientAccount;
import org.copperspindle.route.Route;
import org.copperspindle.route.RouteTable;
import org.copperspindle.route.UpstreamPool;

/**
 * A request that passed the checks of the configuration in force, with what it was admitted under.
 *
 * @param request the caller's request
 * @param table   route table under which it was admitted; it is served under this table to its end
 * @param route   its route
 * @param account client account that owns the key of the request
 * @param pool    pool that serves it
 * @param times   its start, objective and deadlines
 */
record AdmittedRequest(
        GatewayRequest request,
        RouteTable table,
        Route route,
        Optional<ClientAccount> account,
        String pool,
        RequestTimes times) {

    /** Number of distinct route ranks within each account rank. */
    private static final int ROUTE_RANKS = 3;

    /** Rank of callers without an account, and of accounts that set no rank. */
    private static final int DEFAULT_RANK = 1;

    /** Returns the pool of a stage. */
    String stagePool(int stage) {
        return route.stages().get(stage).pool();
    }

    /** Returns the name of the client account; empty if the route needs none. */
    String accountName() {
        return account.map(ClientAccount::name).orElse("");
    }

    /** Describes the request to the quarantine. The digest is computed only when the quarantine asks for it. */
    TrackedRequest tracked() {
        return new TrackedRequest(
                request.id(),
                route.name(),
                accountName(),
                pool,
                () -> RequestDigest.of(accountName(), request.method(), request.host(), request.uri(), request.body()));
    }

    /** Returns whether the request has pieces of a stage. */
    boolean needsStage(int stage) {
        return stage < request.pieces().size() && request.pieces().get(stage) > 0;
    }

    /** Returns whether a pool runs pieces of the request. */
    boolean needsPool(String name) {
        return IntStream.range(0, route.stages().size())
                .filter(this::needsStage)
                .anyMatch(stage -> stagePool(stage).equals(name));
    }

    /** Returns the batch limits of a stage's pool; empty if the table does not have the pool. */
    Optional<BatchLimits> stageLimits(int stage) {
        return table.findPool(stagePool(stage)).flatMap(UpstreamPool::batchLimits);
    }

    /**
     * Returns the scheduling rank, 0 is the most urgent: the rank of the account takes precedence over that of the
     * route.
     */
    int rank() {
        int accountRank = account.map(a -> a.priority().orElse(DEFAULT_RANK)).orElse(DEFAULT_RANK);
        int routeRank = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority()));
        return Math.min(ROUTE_RANKS, Math.max(0, accountRank)) * ROUTE_RANKS + routeRank;
    }
}
