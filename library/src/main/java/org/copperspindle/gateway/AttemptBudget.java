package org.copperspindle.gateway;

import org.copperspindle.direct.ConnectionUse;
import org.copperspindle.route.Route;

/**
 * How often one request may still be sent, by the limit of its route and by the retry budget that all nodes share, and on
 * which connection.
 */
final class AttemptBudget {

    /** Attempts that reached no upstream cost nothing there, but each costs the caller up to a connection timeout. */
    private static final int MAX_UNSENT = 3;

    private final GatewayContext context;
    private final Route route;
    private final String pool;
    private int sent;
    private int unsent;

    /**
     * Creates the budget of a request that has not been sent.
     *
     * @param context  the shared components
     * @param admitted the request
     */
    AttemptBudget(GatewayContext context, AdmittedRequest admitted) {
        this.context = context;
        this.route = admitted.route();
        this.pool = admitted.pool();
    }

    /** Counts an attempt that is sent now. */
    void recordSent() {
        sent++;
    }

    /** Takes the last attempt back: the upstream could not run it for reasons of the request. */
    void takeBack() {
        sent--;
    }

    /**
     * Returns on which connection the attempt that is counted last may be sent. Retries and suspected requests get a new
     * connection: a kept one may have been stale, and its loss would not tell whether the request crashed one more upstream.
     */
    ConnectionUse connectionUse(boolean suspected) {
        boolean allowStale = route.isIdempotent() && sent == 1 && !suspected;
        return allowStale ? ConnectionUse.KEPT : ConnectionUse.NEW;
    }

    /** Returns how many attempts have reached an upstream, the one that is open included. */
    int sent() {
        return sent;
    }

    /** Returns how many attempts have reached none. */
    int unsent() {
        return unsent;
    }

    /** Returns whether another attempt would be allowed after a failure of the one that is open. */
    boolean hasLeft() {
        return sent < route.maxAttempts()
                && context.retryBudget().remaining(pool, context.timers().nanoTime()) >= 1;
    }

    /** Acquires a retry of an attempt that reached an upstream; returns whether one is left. */
    boolean tryAcquireRetry() {
        return sent < route.maxAttempts()
                && context.retryBudget().tryAcquire(pool, context.timers().nanoTime());
    }

    /** Counts an attempt that reached no upstream; returns whether it may be repeated. */
    boolean tryRepeatUnsent() {
        sent--;
        unsent++;
        return unsent < MAX_UNSENT;
    }
}
