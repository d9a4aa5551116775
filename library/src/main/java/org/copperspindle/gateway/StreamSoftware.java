package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.origin.OriginResult;
import org.copperspindle.origin.StreamKey;
import org.copperspindle.route.RouteKind;
import org.copperspindle.time.TimerSubscription;

/**
 * Keeps one stream at the software version that began it, over all upstreams that continue the response and over all
 * requests in which the caller takes it up. A stream is recorded with one version only, and goes to upstreams of no other
 * one after that: the record of a version that it has left could be the only one that a start of all nodes leaves.
 */
final class StreamSoftware {

    private static final long ANNOUNCEMENT_POLL_NANOS = Duration.ofMillis(50).toNanos();

    /**
     * How long an upstream may reject a new stream before its version is recorded, unless the first event arrives earlier:
     * a stream that is rejected at once may still move to any version.
     */
    private static final long REJECTION_NANOS = Duration.ofMillis(50).toNanos();

    /** Number of the record of a stream that has no other one. */
    private static final long FIRST_ORDER = 1;

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamEligibility eligibility;
    private final RequestLogger requestLogger;
    private TimerSubscription recording = () -> {};
    private boolean recorded;
    private long firstOrder = FIRST_ORDER;

    /**
     * Creates the state of a request that has not been sent.
     *
     * @param context       the shared components
     * @param admitted      the request
     * @param eligibility   which upstreams may get the request
     * @param requestLogger writes its log lines
     */
    StreamSoftware(
            GatewayContext context,
            AdmittedRequest admitted,
            UpstreamEligibility eligibility,
            RequestLogger requestLogger) {
        this.context = context;
        this.admitted = admitted;
        this.eligibility = eligibility;
        this.requestLogger = requestLogger;
        if (mayBeTakenUp()) {
            eligibility.beginOnlyAt(context.origins()::mayBegin);
        }
    }

    /** Returns whether the caller holds events of an earlier response, so that the version is sought first. */
    boolean isTakenUp() {
        return admitted.route().kind() == RouteKind.STREAM
                && admitted.request().resumePoint().isPresent();
    }

    /**
     * Finds the version at which the caller's stream began.
     *
     * @param listener receives whether it is known; the eligible upstreams have been limited to it then
     */
    void find(Consumer<Boolean> listener) {
        long askedAt = context.timers().nanoTime();
        Optional<String> first = admitted.request().resumePoint().flatMap(ResumePoint::firstRequest);
        if (first.isEmpty() && admitted.route().pools().size() > 1) {
            // The pool was drawn by another name than when the stream began, and may not be the one that began it.
            requestLogger.originFound(new OriginResult.Unknown(), 0);
            listener.accept(false);
            return;
        }
        // No request has an empty id: a caller that names none can only be answered while there is one version.
        context.origins().find(key(first.orElse("")), admitted.pool(), found -> {
            OriginResult result =
                    found instanceof OriginResult.OnlyVersion && isMoved() ? new OriginResult.Unknown() : found;
            requestLogger.originFound(result, context.timers().nanoTime() - askedAt);
            if (require(result)) {
                awaitAnnouncement(listener);
            } else {
                listener.accept(false);
            }
        });
    }

    /** Records the version of a stream that is taken up, of which an event may arrive at once. */
    void onSelected(UpstreamRecord upstream) {
        if (isTakenUp() && isRecorded() && !recorded) {
            record(upstream);
        }
    }

    /** Records the version of a new stream, once the upstream that it was written to has had time to reject it. */
    void onSent(UpstreamRecord upstream) {
        recording.cancel();
        if (isRecorded() && !recorded) {
            recording = context.timers().schedule(REJECTION_NANOS, () -> record(upstream));
        }
    }

    /** Ends an attempt, whose version is not recorded after that. */
    void onAttemptEnded() {
        recording.cancel();
    }

    /** Limits the stream to the version that wrote its first event. */
    void onFirstEvent(UpstreamRecord upstream) {
        eligibility.require(upstream.software());
        if (isRecorded() && !recorded) {
            record(upstream);
        }
    }

    /** Returns whether the version of the stream is recorded, and no upstream that serves now may go on with it. */
    boolean isSoftwareGone() {
        return eligibility.software().isPresent()
                && admitted.table()
                        .findPool(admitted.pool())
                        .filter(pool -> context.chooser().hasEligible(pool, eligibility::isExpected))
                        .isEmpty();
    }

    /**
     * Waits while no upstream of the version is known to a node that has just started: after a start of all nodes, upstreams
     * that serve are known with their next announcement.
     */
    private void awaitAnnouncement(Consumer<Boolean> listener) {
        if (isSoftwareGone() && context.origins().isLearning()) {
            context.timers().schedule(ANNOUNCEMENT_POLL_NANOS, () -> awaitAnnouncement(listener));
        } else {
            listener.accept(true);
        }
    }

    /**
     * Records the version, to which the stream is limited from now on. A stream that is taken up is recorded under its first
     * name as well: the caller may use that again, and whoever recorded it may be gone.
     */
    private void record(UpstreamRecord upstream) {
        recording.cancel();
        recorded = true;
        eligibility.require(upstream.software());
        context.origins().record(key(admitted.request().id()), upstream, FIRST_ORDER);
        admitted.request()
                .resumePoint()
                .flatMap(ResumePoint::firstRequest)
                .ifPresent(first -> context.origins().record(key(first), upstream, firstOrder));
    }

    private boolean require(OriginResult result) {
        if (result instanceof OriginResult.Recorded known) {
            eligibility.require(known.origin().software());
            firstOrder = known.origin().order();
            return true;
        }
        if (result instanceof OriginResult.OnlyVersion only) {
            eligibility.require(only.software());
            return true;
        }
        return false;
    }

    /**
     * Returns whether streams of the route may have begun in another pool than that of this request: it was admitted under
     * a table that has been replaced, and nodes that hold the newer one begin streams elsewhere.
     */
    private boolean isMoved() {
        return context.heldTable()
                .get()
                .flatMap(table -> table.findRoute(
                        admitted.request().host(), admitted.request().path()))
                .filter(admitted.route()::choosesLike)
                .isEmpty();
    }

    /** Returns whether callers may take the stream up, also without naming it. */
    private boolean mayBeTakenUp() {
        return admitted.route().kind() == RouteKind.STREAM && admitted.route().resumable();
    }

    /** Returns whether the stream is recorded. One whose request has an empty id can't be named by callers. */
    private boolean isRecorded() {
        return mayBeTakenUp() && !admitted.request().id().isEmpty();
    }

    private StreamKey key(String requestId) {
        return StreamKey.of(admitted.pool(), admitted.accountName(), requestId);
    }
}
