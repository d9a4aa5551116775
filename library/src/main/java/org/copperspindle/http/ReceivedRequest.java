package org.copperspindle.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * Result of assembling a request from the bytes of a connection.
 */
sealed interface ReceivedRequest {

    /**
     * A complete and valid request.
     *
     * @param head request line and header fields
     * @param body complete body
     */
    record Whole(HttpRequest head, byte[] body) implements ReceivedRequest {}

    /**
     * A refused request. It isn't known where the next request would begin, so the connection closes after the
     * response.
     *
     * @param problem the response
     */
    record Refused(ProblemDetails problem) implements ReceivedRequest {}
}
