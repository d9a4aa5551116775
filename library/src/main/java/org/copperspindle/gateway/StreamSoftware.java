package org.copperspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.copperspindle.discovery.SoftwareVersion;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.origin.OriginResult;
import org.copperspindle.origin.StreamKey;
import org.copperspindle.route.RouteKind;

/**
 * Keeps one stream at the software version that began it, over all upstreams that continue the response and over all
 * requests in which the caller takes it up.
 */
final class StreamSoftware {

    private static final long ANNOUNCEMENT_POLL_NANOS = Duration.ofMillis(50).toNanos();

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final UpstreamEligibility eligibility;
    private final RequestLogger requestLogger;
    private Optional<SoftwareVersion> recorded = Optional.empty();
    private long records;
    private long firstRecords = 1;

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
        if (isRecorded()) {
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
        context.origins().find(key(first.orElse("")), admitted.pool(), result -> {
            requestLogger.originFound(result, context.timers().nanoTime() - askedAt);
            if (require(result)) {
                awaitAnnouncement(listener);
            } else {
                listener.accept(false);
            }
        });
    }

    /**
     * Records the version before a request is sent, so that it is known before the first event can arrive. A stream that is
     * taken up is recorded under its first name as well: the caller may use that again, and whoever recorded it may be gone.
     */
    void onSend(UpstreamRecord upstream) {
        if (!isRecorded() || recorded.filter(upstream.software()::equals).isPresent()) {
            return;
        }
        records++;
        recorded = Optional.of(upstream.software());
        context.origins().record(key(admitted.request().id()), upstream, records);
        admitted.request()
                .resumePoint()
                .flatMap(ResumePoint::firstRequest)
                .ifPresent(first -> context.origins().record(key(first), upstream, firstRecords));
    }

    /** Limits the stream to the version that wrote its first event. */
    void onFirstEvent(UpstreamRecord upstream) {
        eligibility.require(upstream.software());
    }

    /** Returns whether the caller holds events that no upstream which serves now may continue. */
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

    private boolean require(OriginResult result) {
        if (result instanceof OriginResult.Recorded known) {
            eligibility.require(known.origin().software());
            firstRecords = known.origin().order();
            return true;
        }
        if (result instanceof OriginResult.OnlyVersion only) {
            eligibility.require(only.software());
            return true;
        }
        return false;
    }

    /** Returns whether callers may take the stream up. One whose request has an empty id can't be named by them. */
    private boolean isRecorded() {
        return admitted.route().kind() == RouteKind.STREAM
                && admitted.route().resumable()
                && !admitted.request().id().isEmpty();
    }

    private StreamKey key(String requestId) {
        return StreamKey.of(admitted.pool(), admitted.accountName(), requestId);
    }
}
