package org.copperspindle.gateway;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;

/**
 * Which upstreams may get one request, whatever their load: none that has received it before or that the quarantine keeps
 * it from, and once the version of its stream is recorded, only those that run it. Every search for an upstream applies it.
 */
final class UpstreamEligibility implements Predicate<UpstreamRecord> {

    private final Set<String> tried = new HashSet<>();
    private Optional<SoftwareVersion> software = Optional.empty();
    private final Predicate<UpstreamRecord> permitted;
    private Predicate<UpstreamRecord> mayBegin = upstream -> true;

    /**
     * Creates the eligibility of a request that no upstream has received.
     *
     * @param permitted whether the quarantine permits an upstream
     */
    UpstreamEligibility(Predicate<UpstreamRecord> permitted) {
        this.permitted = permitted;
    }

    @Override
    public boolean test(UpstreamRecord upstream) {
        return isExpected(upstream) && mayBegin.test(upstream);
    }

    /** Returns whether an upstream gets the request at the latest once it may begin streams. */
    boolean isExpected(UpstreamRecord upstream) {
        return !tried.contains(upstream.id())
                && permitted.test(upstream)
                && software.filter(version -> !version.equals(upstream.software()))
                        .isEmpty();
    }

    /** Returns whether an upstream gets the request as soon as it may begin streams. */
    boolean isAwaited(UpstreamRecord upstream) {
        return isExpected(upstream) && !mayBegin.test(upstream);
    }

    /** Limits which upstreams may begin the stream or go on with it, besides by their software. */
    void beginOnlyAt(Predicate<UpstreamRecord> condition) {
        mayBegin = condition;
    }

    /** Records that an upstream gets the request. */
    void exclude(String upstream) {
        tried.add(upstream);
    }

    /** Allows an upstream again that could not run the request for reasons of the request. */
    void readmit(String upstream) {
        tried.remove(upstream);
    }

    /** Allows only upstreams with a version of the software from now on. */
    void require(SoftwareVersion version) {
        software = Optional.of(version);
    }

    /** Returns the only version that may begin the stream or go on with it; empty while each one may begin it. */
    Optional<SoftwareVersion> software() {
        return software;
    }
}
