package org.copperspindle.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.copperspindle.admission.StagedRequest;
import org.copperspindle.quarantine.SuspectDigest;
import org.copperspindle.quarantine.TrackedRequest;
import org.copperspindle.resume.ResumePlan;
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
        RequestTimes times)
        implements StagedRequest {

    /** Number of distinct route ranks within each account rank. */
    private static final int ROUTE_RANKS = 3;

    /** Rank of callers without an account, and of accounts that set no rank. */
    private static final int DEFAULT_RANK = 1;

    @Override
    public List<Integer> pieces() {
        return request.pieces();
    }

    @Override
    public long admittedAt() {
        return times.admittedAt();
    }

    @Override
    public long objectiveAt() {
        return times.objectiveAt();
    }

    @Override
    public long callerTimeoutAt() {
        return times.callerTimeoutAt();
    }

    @Override
    public boolean retried() {
        return times.retried();
    }

    @Override
    public String accountName() {
        return account.map(ClientAccount::name).orElse("");
    }

    /** Returns the same request while its interrupted stream is resumed by a plan. */
    AdmittedRequest resumed(ResumePlan plan) {
        return new AdmittedRequest(request, table, route, account, pool, times.resumed(route, plan));
    }

    /**
     * Returns the time until which the next event of an interrupted stream is on time, in nanoseconds of the monotonic
     * clock; empty for all other requests.
     */
    OptionalLong resumedUntil() {
        return times.resumed() ? OptionalLong.of(times.objectiveAt()) : OptionalLong.empty();
    }

    /** Describes the request to the quarantine. The digest is computed only when the quarantine asks for it. */
    TrackedRequest tracked() {
        return new TrackedRequest(
                request.id(),
                route.name(),
                accountName(),
                pool,
                request.sharedParts(),
                () -> SuspectDigest.ofRequest(
                        accountName(), request.method(), request.host(), request.uri(), request.body()));
    }

    @Override
    public Optional<BatchLimits> stageLimits(int stage) {
        return table.findPool(stagePool(stage)).flatMap(UpstreamPool::batchLimits);
    }

    /**
     * Returns the scheduling rank, 0 is the most urgent: the rank of the account takes precedence over that of the
     * route.
     */
    @Override
    public int rank() {
        int accountRank = account.map(a -> a.priority().orElse(DEFAULT_RANK)).orElse(DEFAULT_RANK);
        int routeRank = Math.min(ROUTE_RANKS - 1, Math.max(0, route.priority()));
        return Math.min(ROUTE_RANKS, Math.max(0, accountRank)) * ROUTE_RANKS + routeRank;
    }
}
