package org.copperspindle.http;

import io.netty.handler.codec.http.HttpRequest;

/**
 * What a connection's bytes turned out to be.
 */
sealed interface ReceivedRequest {

    /**
     * A whole request.
     *
     * @param head request line and header fields
     * @param body whole body
     */
    record Whole(HttpRequest head, byte[] body) implements ReceivedRequest {}

    /**
     * Bytes that are refused. Where the next request would begin is not known, so that the connection ends with the
     * answer.
     *
     * @param problem the answer
     */
    record Refused(ProblemDetails problem) implements ReceivedRequest {}
}
