package org.copperspindle.gateway;

import java.time.Duration;
import java.util.List;

import org.copperspindle.http.HeaderField;
import org.copperspindle.http.HttpExchange;

/**
 * Reads the requests of callers and writes the fields of refusals, in the format that the callers of a deployment use.
 */
public interface CallerDialect {

    /**
     * Reads a request.
     *
     * @param exchange the request as it arrived
     * @return the decoded request, or why it is malformed
     */
    GatewayRequestResult read(HttpExchange exchange);

    /**
     * Writes the header fields that tell a caller when to retry.
     *
     * @param after delay from now
     * @return header fields of the refusal
     */
    List<HeaderField> retryAfter(Duration after);
}
