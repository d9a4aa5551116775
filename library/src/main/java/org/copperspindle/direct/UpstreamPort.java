package org.copperspindle.direct;

/**
 * Sends calls to upstreams.
 */
public interface UpstreamPort {

    /**
     * Sends a call. The listener may be told of a failure before this returns.
     *
     * @param call     the call
     * @param listener told how it goes
     * @return ends the call by closing its connection, with a reason; does nothing once the call has ended
     */
    CallHandle call(DirectCall call, DirectListener listener);

    /** A call under way. */
    interface CallHandle {

        /**
         * Ends the call. Its listener hears nothing more.
         *
         * @param reason why, for logs
         */
        void abort(String reason);
    }
}
