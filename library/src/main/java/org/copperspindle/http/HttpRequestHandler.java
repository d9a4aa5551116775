package org.copperspindle.http;

/**
 * Answers requests. Called on network threads; must not block.
 */
@FunctionalInterface
public interface HttpRequestHandler {

    /**
     * Takes a whole request; the answer may follow later, from any thread.
     *
     * @param exchange the request and the way to answer it
     */
    void handle(HttpExchange exchange);
}
