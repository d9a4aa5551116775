package org.copperspindle.gateway;

import java.time.Duration;
import java.util.List;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * How callers write what they want.
 */
public interface CallerDialect {

    /**
     * Reads a request.
     *
     * @param exchange the request as it arrived
     * @return the request, or what is wrong with it
     */
    GatewayRequestResult read(HttpExchange exchange);

    /**
     * Writes when a caller may come back.
     *
     * @param after time from now
     * @return header fields of the refusal
     */
    List<HeaderField> retryAfter(Duration after);
}
