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

        /**
         * Aborts the call because its response is larger than it may be, and logs and counts that. Its listener is not
         * notified any more.
         *
         * @param bound what is too large
         * @param limit the limit in bytes
         */
        default void abortExceeded(ResponseBound bound, long limit) {
            abort(bound.label() + "-too-large");
        }

        /**
         * Pauses or resumes reading of the response, so that the upstream is slowed to the speed of the reader. Data
         * that was read before is still passed on. While paused, the loss of the connection isn't noticed; the caller
         * bounds the pause. Does nothing once the call has ended.
         *
         * @param reads false to pause
         */
        default void setReading(boolean reads) {}
    }
}
