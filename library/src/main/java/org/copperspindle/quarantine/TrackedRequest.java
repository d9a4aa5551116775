package org.copperspindle.quarantine;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * A request with the properties that the quarantine needs when an upstream terminates. The digests are computed lazily,
 * since most requests never need one.
 */
public final class TrackedRequest {

    /** Maximum number of prompt parts that can be suspected; bounds what a request with hundreds of parts adds. */
    static final int MAX_PARTS = 32;

    private final String id;
    private final String route;
    private final String account;
    private final String pool;
    private final List<String> sharedParts;
    private final Supplier<SuspectDigest> digestSupplier;
    private Optional<SuspectDigest> digest = Optional.empty();
    private Optional<List<Suspect>> partSuspects = Optional.empty();

    /**
     * Creates a tracked request.
     *
     * @param id             id of the caller's attempt, for log lines
     * @param route          name of its route, for operators
     * @param account        name of its client account, for operators
     * @param pool           pool that runs the request
     * @param sharedParts    ids of the parts of its prompt that other requests may share
     * @param digestSupplier computes the digest
     */
    public TrackedRequest(
            String id,
            String route,
            String account,
            String pool,
            List<String> sharedParts,
            Supplier<SuspectDigest> digestSupplier) {
        this.id = id;
        this.route = route;
        this.account = account;
        this.pool = pool;
        this.sharedParts = List.copyOf(sharedParts);
        this.digestSupplier = digestSupplier;
    }

    /**
     * Returns the digest that identifies the request in every attempt of its caller.
     *
     * @return the digest, computed on the first call
     */
    public SuspectDigest digest() {
        SuspectDigest computed = digest.orElseGet(digestSupplier);
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

    List<String> sharedParts() {
        return sharedParts;
    }

    /** Returns the distinct shared parts of the prompt that can be suspected. */
    List<Suspect> partSuspects() {
        List<Suspect> computed = partSuspects.orElseGet(() -> sharedParts.stream()
                .distinct()
                .limit(MAX_PARTS)
                .map(part -> Suspect.ofPromptPart(pool, part))
                .toList());
        partSuspects = Optional.of(computed);
        return computed;
    }

    /** Returns the request itself and its parts. */
    List<Suspect> suspects() {
        return Stream.concat(Stream.of(Suspect.ofRequest(digest())), partSuspects().stream())
                .toList();
    }
}
