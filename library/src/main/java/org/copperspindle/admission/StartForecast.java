package org.copperspindle.admission;

/**
 * Estimates for requests that wait for the start of their stages, by the present load of their pools. All times in
 * nanoseconds.
 */
public interface StartForecast {

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
     * Records that a request starts now, so that the following estimates include it.
     *
     * @param request the request
     */
    void recordStart(StagedRequest request);
}
