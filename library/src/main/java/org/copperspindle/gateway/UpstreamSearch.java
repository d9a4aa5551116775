package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import org.copperspindle.backpressure.PermitResult;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.placement.PlacementReason;
import org.copperspindle.route.UpstreamPool;
import org.copperspindle.stage.StageInputs;

/**
 * Searches for the upstream of an attempt and the time at which the attempt may be sent. An upstream with a rate limit is
 * used if a send permit is available immediately. If all upstreams that could take the request have limits, the
 * search reserves the earliest permit within the caller's remaining time, and reports a failure immediately if there
 * is none.
 */
final class UpstreamSearch {

    /** Permits requested for immediate use; after that only upstreams without a limit are considered. */
    private static final int MAX_IMMEDIATE_PERMITS = 6;

    /** Upstreams that are asked for a later permit; each request costs a round trip between nodes. */
    private static final int MAX_DELAYED_PERMITS = 3;

    /** How long a search waits for upstreams whose software version is not recorded yet. */
    private static final long MAX_RECORDING_NANOS = Duration.ofSeconds(1).toNanos();

    /** Interval for checking cold upstreams again, and those whose backoff has just ended. */
    private static final long CHECK_INTERVAL_NANOS = Duration.ofMillis(75).toNanos();

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final Predicate<UpstreamRecord> eligible;
    private final StageInputs inputs;
    private final OptionalLong nextEventBy;
    private final Listener listener;
    private final Set<String> delayedPermitsRequested = new HashSet<>();
    private Predicate<UpstreamRecord> awaited = upstream -> false;
    private OptionalLong awaitsUntil = OptionalLong.empty();
    private int immediatePermits;
    private Optional<PlacementReason> placement = Optional.empty();
    private boolean ended;

    /**
     * Creates a search.
     *
     * @param context     shared components of the node
     * @param admitted    the request
     * @param eligible    whether an upstream may get the request at all
     * @param inputs      stage results that the upstream will fetch
     * @param nextEventBy monotonic time in nanoseconds until which the next event of a resumed stream is on time; empty
     *     for requests whose response has not started
     * @param listener    called once, possibly before {@link #seek} returns
     */
    UpstreamSearch(
            GatewayContext context,
            AdmittedRequest admitted,
            Predicate<UpstreamRecord> eligible,
            StageInputs inputs,
            OptionalLong nextEventBy,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.eligible = eligible;
        this.inputs = inputs;
        this.nextEventBy = nextEventBy;
        this.listener = listener;
    }

    /**
     * Checks before the stages of a request whether all upstreams signal backpressure for longer than its caller
     * waits.
     *
     * @param context  shared components of the node
     * @param admitted the request
     * @param eligible whether an upstream may get the request at all
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds until the first upstream accepts requests again; empty if one may accept the request in
     *     time
     */
    static OptionalLong backpressureNanos(
            GatewayContext context, AdmittedRequest admitted, Predicate<UpstreamRecord> eligible, long now) {
        long callerTimeNanos = admitted.times().callerTimeoutAt() - now;
        return admitted.table()
                .findPool(admitted.pool())
                .map(pool -> context.chooser().earliestBeyond(pool, eligible, callerTimeNanos, now))
                .orElse(OptionalLong.empty());
    }

    /**
     * Predicts the upstream of a request whose stages start now, by the rule that chooses it after them.
     *
     * @param context     shared components of the node
     * @param admitted    the request
     * @param eligible    whether an upstream may get the request at all
     * @param stagesNanos expected duration of the stages in nanoseconds
     * @param now         monotonic time in nanoseconds
     * @return the upstream; empty if none can take the request now
     */
    static Optional<UpstreamRecord> predict(
            GatewayContext context,
            AdmittedRequest admitted,
            Predicate<UpstreamRecord> eligible,
            long stagesNanos,
            long now) {
        long left = admitted.objectiveAt() - now - stagesNanos;
        PlacementTimes times = new PlacementTimes(admitted.request().id(), left, false);
        return admitted.table()
                .findPool(admitted.pool())
                .flatMap(pool -> context.chooser()
                        .choose(pool, admitted.route(), admitted.request(), StageInputs.NONE, eligible, times, now))
                .map(ChosenUpstream::upstream);
    }

    /** Sets which upstreams become eligible soon; the search waits for them shortly if there are no others. */
    void waitFor(Predicate<UpstreamRecord> soonEligible) {
        awaited = soonEligible;
    }

    /** Starts or continues the search. */
    void seek() {
        Optional<UpstreamPool> pool = admitted.table().findPool(admitted.pool());
        if (ended) {
            return;
        }
        if (pool.isEmpty()) {
            reportNone(OptionalLong.empty());
        } else {
            seek(pool.get(), context.timers().nanoTime());
        }
    }

    /** Cancels the search; the listener is not called after that. */
    void cancel() {
        ended = true;
    }

    /** Returns why the engine was chosen; empty if it was not chosen by the loads of the engines. */
    Optional<PlacementReason> placement() {
        return placement;
    }

    private void seek(UpstreamPool pool, long now) {
        UpstreamChooser chooser = context.chooser();
        Predicate<UpstreamRecord> allowed =
                immediatePermits < MAX_IMMEDIATE_PERMITS ? eligible : withoutLimited(pool, now);
        Optional<ChosenUpstream> chosen =
                chooser.choose(pool, admitted.route(), admitted.request(), inputs, allowed, placementTimes(now), now);
        placement = chosen.flatMap(ChosenUpstream::placement);
        if (chosen.isPresent()) {
            selectOrRequestPermit(pool, chosen.get().upstream());
            return;
        }
        Optional<UpstreamRecord> limited = delayedPermitsRequested.size() < MAX_DELAYED_PERMITS
                ? chooser.earliestLimited(pool, without(delayedPermitsRequested), now)
                : Optional.empty();
        long callerTimeNanos = admitted.times().callerTimeoutAt() - now;
        if (limited.isPresent() && callerTimeNanos > 0) {
            delayedPermitsRequested.add(limited.get().id());
            requestPermit(pool, limited.get(), callerTimeNanos);
        } else {
            retryOrGiveUp(pool, callerTimeNanos, now);
        }
    }

    private PlacementTimes placementTimes(long now) {
        long lateAt = nextEventBy.orElse(admitted.objectiveAt());
        return new PlacementTimes(admitted.request().id(), lateAt - now, nextEventBy.isPresent());
    }

    /** Waits for upstreams that are cold, back off or are awaited, unless that takes longer than the caller waits. */
    private void retryOrGiveUp(UpstreamPool pool, long callerTimeNanos, long now) {
        if (CHECK_INTERVAL_NANOS < callerTimeNanos && isWorthAwaiting(pool, now)) {
            context.timers().schedule(CHECK_INTERVAL_NANOS, this::seek);
            return;
        }
        OptionalLong earliest = context.chooser().earliestNanos(pool, eligible, now);
        boolean waits = context.chooser().isWarming(pool, eligible, now) || earliest.isPresent();
        long wait = Math.max(CHECK_INTERVAL_NANOS, earliest.orElse(0));
        if (waits && delayedPermitsRequested.isEmpty() && wait < callerTimeNanos) {
            context.timers().schedule(wait, this::seek);
        } else {
            reportNone(earliest);
        }
    }

    private boolean isWorthAwaiting(UpstreamPool pool, long now) {
        if (!context.chooser().hasUsable(pool, awaited, now)) {
            return false;
        }
        awaitsUntil = OptionalLong.of(awaitsUntil.orElse(now + MAX_RECORDING_NANOS));
        return now - awaitsUntil.getAsLong() < 0;
    }

    private void selectOrRequestPermit(UpstreamPool pool, UpstreamRecord upstream) {
        if (context.permits().isNeeded(upstream.id())) {
            immediatePermits++;
            requestPermit(pool, upstream, 0);
        } else {
            select(upstream);
        }
    }

    private void requestPermit(UpstreamPool pool, UpstreamRecord upstream, long maxWaitNanos) {
        context.permits().requestPermit(upstream.id(), maxWaitNanos, result -> onPermitResult(pool, upstream, result));
    }

    private void onPermitResult(UpstreamPool pool, UpstreamRecord upstream, PermitResult result) {
        if (ended) {
            return;
        }
        if (result instanceof PermitResult.Granted granted) {
            if (granted.delayNanos() > 0) {
                context.timers().schedule(granted.delayNanos(), () -> selectIfUsable(pool, upstream));
            } else {
                selectIfUsable(pool, upstream);
            }
        } else {
            seek();
        }
    }

    /** Sends with a granted permit, unless the upstream became unusable while the permit was pending. */
    private void selectIfUsable(UpstreamPool pool, UpstreamRecord upstream) {
        if (ended) {
            return;
        }
        context.chooser()
                .findUsable(pool, upstream.id(), eligible, context.timers().nanoTime())
                .ifPresentOrElse(this::select, this::seek);
    }

    private void select(UpstreamRecord upstream) {
        ended = true;
        placement.ifPresent(context.counters()::recordPlacement);
        listener.onUpstreamSelected(upstream);
    }

    private void reportNone(OptionalLong freeNanos) {
        ended = true;
        listener.onNoUpstream(freeNanos);
    }

    private Predicate<UpstreamRecord> withoutLimited(UpstreamPool pool, long now) {
        return without(context.chooser().limited(pool, eligible, now));
    }

    private Predicate<UpstreamRecord> without(Set<String> ids) {
        return eligible.and(upstream -> !ids.contains(upstream.id()));
    }

    /** Receives the result of the search. */
    interface Listener {
        /**
         * Called when the attempt may be sent.
         *
         * @param upstream the selected upstream
         */
        void onUpstreamSelected(UpstreamRecord upstream);

        /**
         * Called when no upstream can take the request in its time.
         *
         * @param freeNanos nanoseconds until an upstream with a backoff or a limit may take it; empty if there is
         *     none
         */
        void onNoUpstream(OptionalLong freeNanos);
    }
}
