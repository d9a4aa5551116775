package org.copperspindle.direct;

/**
 * Sends calls to upstreams.
 */
public interface UpstreamPort {

    /**
     * Sends a call. The listener may be notified of a failure before this returns.
     *
     * @param call     the call
     * @param listener receives the response or the failure
     * @return aborts the call by closing its connection; does nothing once the call has ended
     */
    CallHandle call(DirectCall call, DirectListener listener);

    /** A call in progress. */
    interface CallHandle {

        /**
         * Aborts the call. Its listener is not notified any more.
         *
         * @param reason cause, for logs
         */
        void abort(String reason);
    }
}
