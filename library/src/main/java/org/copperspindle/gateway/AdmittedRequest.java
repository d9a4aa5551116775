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
 * A request that the table in force allows, with what it was admitted by.
 *
 * @param request what the caller wants
 * @param table   table by which it was admitted, and by which it is served to its end
 * @param route   its route
 * @param account client account that holds its key
 * @param pool    pool that serves it
 * @param times   instants that matter to it
 */
record AdmittedRequest(
        GatewayRequest request,
        RouteTable table,
        Route route,
        Optional<ClientAccount> account,
        String pool,
        RequestTimes times) {

    /** Ranks of routes that fit under each rank of an account. */
    private static final int ROUTE_RANKS = 3;

    /** Rank of callers without an account, and of accounts that have none. */
    private static final int USUAL_RANK = 1;

    /** Returns the pool of a stage. */
    String stagePool(int stage) {
        return route.stages().get(stage).pool();
    }

    /** Returns the name of the client account; empty if the route needs none. */
    String accountName() {
        return account.map(ClientAccount::name).orElse("");
    }

    /** Describes the request to the quarantine. */
    TrackedRequest watched() {
        return new TrackedRequest(
                request.id(),
                route.name(),
                accountName(),
                pool,
                () -> RequestDigest.of(accountName(), request.method(), request.host(), request.uri(), request.body()));
    }

    /** Says whether the request has pieces of a stage. */
    boolean needsStage(int stage) {
        return stage < request.pieces().size() && request.pieces().get(stage) > 0;
    }

    /** Says whether a pool makes pieces of the request. */
    boolean needsPool(String name) {
        return IntStream.range(0, route.stages().size())
                .filter(this::needsStage)
                .anyMatch(stage -> stagePool(stage).equals(name));
    }

    /** Returns the limits of the calls of a stage's pool; empty if the table does not have the pool. */
    Optional<BatchLimits> stageLimits(int stage) {
        return table.findPool(stagePool(stage)).flatMap(UpstreamPool::batchLimits);
    }

    /** Returns the urgency, 0 first: the rank of the account goes before that of the route. */
    int rank() {
        int ofAccount = account.map(a -> a.priority().orElse(USUAL_RANK)).orElse(USUAL_RANK);
        int within = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority()));
        return Math.min(ROUTE_RANKS, Math.max(0, ofAccount)) * ROUTE_RANKS + within;
    }
}
