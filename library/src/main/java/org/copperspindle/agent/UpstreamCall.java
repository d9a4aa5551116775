package org.copperspindle.agent;

/**
 * One HTTP call to an upstream.
 *
 * @param path        path and query
 * @param body        JSON body, sent with POST; a call without one is sent with GET
 * @param requestId   request id passed on for the upstream's logs
 * @param attemptId   attempt id, passed on as the upstream's idempotency key
 * @param repeatable  whether the call may be sent on a connection that was used before, and again on a new one if the
 *                    upstream closed that before it answered
 * @param maxResponse bytes of the answer at most
 * @param fencingNumber number of the order that the call carries out, 0 if it carries out none
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
     * Makes a call that carries out no order.
     *
     * @param path        path and query
     * @param body        JSON body
     * @param requestId   request id
     * @param attemptId   attempt id
     * @param repeatable  whether the call may be sent again
     * @param maxResponse bytes of the answer at most
     */
    public UpstreamCall(
            String path, byte[] body, String requestId, String attemptId, boolean repeatable, int maxResponse) {
        this(path, body, requestId, attemptId, repeatable, maxResponse, 0);
    }
}
