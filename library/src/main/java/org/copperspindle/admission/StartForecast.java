package org.copperspindle.admission;

/**
 * Estimates for requests that wait for the start of their stages, by the present load of their pools. All times in
 * nanoseconds.
 */
public interface StartForecast {

    /**
     * Begins a round of decisions. Until its end the reported loads may be assumed to stay the same: a round looks each
     * of them up hundreds of times. By default does nothing.
     */
    default void beginRound() {}

    /** Ends a round of decisions. By default does nothing. */
    default void endRound() {}

    /**
     * Returns the time to the first event of a request that starts now, without any queueing.
     *
     * @param request the request
     * @return nanoseconds
     */
    long shortestNanos(StagedRequest request);

    /**
     * Returns the queueing of a request that starts now, on all pools that it uses, including starts that were granted
     * and are not yet part of the reported loads.
     *
     * @param request the request
     * @return nanoseconds beyond {@link #shortestNanos}
     */
    long queueingNanos(StagedRequest request);

    /**
     * Returns the longest wait of a request that starts now at any of its pools. Unlike the queueing it does not
     * contain that its calls take longer because they are shared. By default the queueing.
     *
     * @param request the request
     * @return nanoseconds
     */
    default long longestWaitNanos(StagedRequest request) {
        return queueingNanos(request);
    }

    /**
     * Returns the duration of a full call of the slowest pool that a request uses.
     *
     * @param request the request
     * @return nanoseconds; 0 if none of its pools is known
     */
    long fullCallNanos(StagedRequest request);

    /**
     * Returns the work of a request at the pool where its pieces take longest, as a part of the whole pool's time.
     *
     * @param request the request
     * @return nanoseconds for which the request occupies all upstreams of that pool
     */
    long costNanos(StagedRequest request);

    /**
     * Returns the work of a request at one pool, as a part of the whole pool's time. By default the largest work of
     * the request, for forecasts that don't tell its pools apart.
     *
     * @param request the request
     * @param pool    name of the pool
     * @return nanoseconds for which the request occupies all upstreams of the pool; 0 if it does not use the pool
     */
    default long costNanos(StagedRequest request, String pool) {
        return request.needsPool(pool) ? costNanos(request) : 0;
    }

    /**
     * Records that a request starts now, so that the following estimates include it.
     *
     * @param request the request
     */
    void recordStart(StagedRequest request);
}
