package org.copperspindle.agent;

/**
 * One HTTP call to an upstream.
 *
 * @param path      path and query
 * @param body      JSON body, sent with POST
 * @param requestId request id passed on for the upstream's logs
 * @param attemptId attempt id, passed on as the upstream's idempotency key
 */
public record UpstreamCall(String path, byte[] body, String requestId, String attemptId) {}
