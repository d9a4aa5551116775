package org.copperspindle.agent;

/**
 * One HTTP call to an upstream.
 *
 * @param path        path and query
 * @param body        JSON body, sent with POST; a call without one is sent with GET
 * @param requestId   request id passed on for the upstream's logs
 * @param attemptId   attempt id, passed on as the upstream's idempotency key
 * @param repeatable  whether the call may be sent on a connection that was used before, and again on a new one if the
 *                    upstream closed that before it responded
 * @param maxResponse most bytes of the response
 * @param fencingNumber fencing number of the order that the call executes, 0 if it executes none
 */
public record UpstreamCall(
        String path,
        byte[] body,
        String requestId,
        String attemptId,
        boolean repeatable,
        int maxResponse,
        long fencingNumber) {

    /**
     * Creates a call that does not belong to an order.
     *
     * @param path        path and query
     * @param body        JSON body
     * @param requestId   request id
     * @param attemptId   attempt id
     * @param repeatable  whether the call may be sent again
     * @param maxResponse most bytes of the response
     */
    public UpstreamCall(
            String path, byte[] body, String requestId, String attemptId, boolean repeatable, int maxResponse) {
        this(path, body, requestId, attemptId, repeatable, maxResponse, 0);
    }
}
