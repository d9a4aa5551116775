package org.copperspindle.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.copperspindle.backpressure.PermitResult;
import org.copperspindle.discovery.UpstreamRecord;
import org.copperspindle.route.UpstreamPool;

/**
 * Finds the upstream of an attempt and the moment in which it may go out. An upstream that has named a limit is used if a permit
 * is to be had at once. Where all that could take the request have limits, it waits for the soonest moment that it is promised, and
 * is told at once if none comes in its time.
 */
final class AttemptTurn {

    /** Permits that are asked for to be used at once; after that only upstreams without a limit are looked at. */
    private static final int MAX_ASKS = 6;

    /** Upstreams that are asked for a moment later; each of them costs a round trip between nodes. */
    private static final int MAX_RESERVES = 3;

    /** Upstreams that are cold, or have just had a rest, are looked at again this often. */
    private static final long LOOK_NANOS = Duration.ofMillis(75).toNanos();

    private final GatewayContext context;
    private final AdmittedRequest admitted;
    private final Set<String> tried;
    private final StageInputs inputs;
    private final Listener listener;
    private final Set<String> reserveAsked = new HashSet<>();
    private int asks;
    private boolean over;

    /**
     * Creates a search.
     *
     * @param context  parts of the node
     * @param admitted the request
     * @param tried    ids of upstreams that have had it
     * @param inputs   stage results that the upstream will fetch
     * @param listener told once, perhaps before {@link #seek} returns
     */
    AttemptTurn(
            GatewayContext context,
            AdmittedRequest admitted,
            Set<String> tried,
            StageInputs inputs,
            Listener listener) {
        this.context = context;
        this.admitted = admitted;
        this.tried = tried;
        this.inputs = inputs;
        this.listener = listener;
    }

    /**
     * Says before the stages of a request whether its attempt would find all upstreams in need for longer than its caller waits.
     *
     * @param context  parts of the node
     * @param admitted the request
     * @param tried    ids of upstreams that have had it
     * @param now      monotonic time in nanoseconds
     * @return nanoseconds until the first of them takes requests again; empty if there is no such need
     */
    static OptionalLong tooLateNanos(GatewayContext context, AdmittedRequest admitted, Set<String> tried, long now) {
        long patience = admitted.times().patienceAt() - now;
        return admitted.table()
                .findPool(admitted.pool())
                .map(pool -> context.chooser().soonestBeyond(pool, tried, patience, now))
                .orElse(OptionalLong.empty());
    }

    /** Looks for an upstream. */
    void seek() {
        Optional<UpstreamPool> pool = admitted.table().findPool(admitted.pool());
        if (over) {
            return;
        }
        if (pool.isEmpty()) {
            none(OptionalLong.empty());
        } else {
            seek(pool.get(), context.timers().nanoTime());
        }
    }

    /** Ends the search; its listener hears nothing more. */
    void cancel() {
        over = true;
    }

    private void seek(UpstreamPool pool, long now) {
        UpstreamChooser chooser = context.chooser();
        Set<String> passedOver = asks < MAX_ASKS ? tried : withLimited(pool, now);
        Optional<UpstreamRecord> chosen = chooser.choose(pool, admitted.request(), inputs, passedOver, now);
        if (chosen.isPresent()) {
            take(pool, chosen.get());
            return;
        }
        Optional<UpstreamRecord> limited = reserveAsked.size() < MAX_RESERVES
                ? chooser.soonestLimited(pool, union(tried, reserveAsked), now)
                : Optional.empty();
        long patience = admitted.times().patienceAt() - now;
        if (limited.isPresent() && patience > 0) {
            reserveAsked.add(limited.get().id());
            ask(pool, limited.get(), patience);
        } else {
            lookAgain(pool, patience, now);
        }
    }

    /** Waits for upstreams that are cold or rest, unless they do so for longer than the caller waits. */
    private void lookAgain(UpstreamPool pool, long patience, long now) {
        OptionalLong soonest = context.chooser().soonestNanos(pool, tried, now);
        boolean waits = context.chooser().isWarming(pool, tried, now) || soonest.isPresent();
        long wait = Math.max(LOOK_NANOS, soonest.orElse(0));
        if (waits && reserveAsked.isEmpty() && wait < patience) {
            context.timers().schedule(wait, this::seek);
        } else {
            none(soonest);
        }
    }

    private void take(UpstreamPool pool, UpstreamRecord upstream) {
        if (context.permits().isNeeded(upstream.id())) {
            asks++;
            ask(pool, upstream, 0);
        } else {
            go(upstream);
        }
    }

    private void ask(UpstreamPool pool, UpstreamRecord upstream, long longestWait) {
        context.permits().requestPermit(upstream.id(), longestWait, result -> answered(pool, upstream, result));
    }

    private void answered(UpstreamPool pool, UpstreamRecord upstream, PermitResult result) {
        if (over) {
            return;
        }
        if (result instanceof PermitResult.Granted granted) {
            if (granted.delayNanos() > 0) {
                context.timers().schedule(granted.delayNanos(), () -> use(pool, upstream));
            } else {
                use(pool, upstream);
            }
        } else {
            seek();
        }
    }

    /** Uses a permit, unless the upstream has become unfit while it was waited for. */
    private void use(UpstreamPool pool, UpstreamRecord upstream) {
        if (over) {
            return;
        }
        if (context.chooser().isFit(pool, upstream, tried, context.timers().nanoTime())) {
            go(upstream);
        } else {
            seek();
        }
    }

    private void go(UpstreamRecord upstream) {
        over = true;
        listener.onTurn(upstream);
    }

    private void none(OptionalLong freeNanos) {
        over = true;
        listener.onNoUpstream(freeNanos);
    }

    private Set<String> withLimited(UpstreamPool pool, long now) {
        return union(tried, context.chooser().limited(pool, tried, now));
    }

    private static Set<String> union(Set<String> one, Set<String> other) {
        Set<String> all = new HashSet<>(one);
        all.addAll(other);
        return all;
    }

    /** Hears what was found. */
    interface Listener {
        /**
         * The attempt goes out now.
         *
         * @param upstream where to
         */
        void onTurn(UpstreamRecord upstream);

        /**
         * No upstream can take the request in its time.
         *
         * @param freeNanos nanoseconds until one of those that rest or have named a limit may take it; empty if there is none
         */
        void onNoUpstream(OptionalLong freeNanos);
    }
}
