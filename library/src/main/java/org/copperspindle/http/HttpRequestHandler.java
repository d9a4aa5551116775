package org.copperspindle.http;

/**
 * Handles HTTP requests. Called on network threads; must not block.
 */
@FunctionalInterface
public interface HttpRequestHandler {

    /**
     * Handles a complete request. The response may be sent later, from any thread.
     *
     * @param exchange the request, through which the response is sent
     */
    void handle(HttpExchange exchange);
}
