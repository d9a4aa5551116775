package org.copperspindle.quarantine;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * A request as far as it matters when an upstream ends under it. The digest is computed when it is first asked for: most
 * requests never need one.
 */
public final class TrackedRequest {

    private final String id;
    private final String route;
    private final String account;
    private final String pool;
    private final Supplier<RequestDigest> compute;
    private Optional<RequestDigest> digest = Optional.empty();

    /**
     * Describes a request.
     *
     * @param id      identity of the caller's attempt, for log lines
     * @param route   name of its route, for operators
     * @param account name of its client account, for operators
     * @param pool    pool that runs it
     * @param compute computes its digest
     */
    public TrackedRequest(String id, String route, String account, String pool, Supplier<RequestDigest> compute) {
        this.id = id;
        this.route = route;
        this.account = account;
        this.pool = pool;
        this.compute = compute;
    }

    /**
     * Returns what names the request, whichever attempt of its caller brings it.
     *
     * @return the same each time
     */
    public RequestDigest digest() {
        RequestDigest known = digest.orElseGet(compute);
        digest = Optional.of(known);
        return known;
    }

    String id() {
        return id;
    }

    String route() {
        return route;
    }

    String account() {
        return account;
    }

    String pool() {
        return pool;
    }
}
