package org.copperspindle.quarantine;

import java.util.Optional;
import java.util.function.Supplier;

/**
 * A request with the properties that the quarantine needs when an upstream terminates. The digest is computed lazily,
 * since most requests never need one.
 */
public final class TrackedRequest {

    private final String id;
    private final String route;
    private final String account;
    private final String pool;
    private final Supplier<RequestDigest> digestSupplier;
    private Optional<RequestDigest> digest = Optional.empty();

    /**
     * Creates a tracked request.
     *
     * @param id             id of the caller's attempt, for log lines
     * @param route          name of its route, for operators
     * @param account        name of its client account, for operators
     * @param pool           pool that runs the request
     * @param digestSupplier computes the digest
     */
    public TrackedRequest(
            String id, String route, String account, String pool, Supplier<RequestDigest> digestSupplier) {
        this.id = id;
        this.route = route;
        this.account = account;
        this.pool = pool;
        this.digestSupplier = digestSupplier;
    }

    /**
     * Returns the digest that identifies the request in every attempt of its caller.
     *
     * @return the digest, computed on the first call
     */
    public RequestDigest digest() {
        RequestDigest computed = digest.orElseGet(digestSupplier);
        digest = Optional.of(computed);
        return computed;
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
