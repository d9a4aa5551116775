package org.copperspindle.http;

import io.netty.handler.codec.http.HttpRequest;
import org.copperspindle.memory.MemoryHolder;

/**
 * Result of assembling a request from the bytes of a connection.
 */
sealed interface ReceivedRequest {

    /**
     * A complete and valid request.
     *
     * @param head   request line and header fields
     * @param body   complete body
     * @param holder holds the memory of the body, and then that of the response
     */
    record Whole(HttpRequest head, byte[] body, MemoryHolder holder) implements ReceivedRequest {}

    /**
     * A refused request. It isn't known where the next request would begin, so the connection closes after the
     * response.
     *
     * @param problem the response
     */
    record Refused(ProblemDetails problem) implements ReceivedRequest {}
}
