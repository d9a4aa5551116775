package org.copperspindle.gateway;

/**
 * Result of decoding a caller's request.
 */
public sealed interface GatewayRequestResult {

    /**
     * The request is well-formed.
     *
     * @param request the request
     */
    record Valid(GatewayRequest request) implements GatewayRequestResult {}

    /**
     * The request is malformed.
     *
     * @param problem what is wrong
     */
    record Invalid(String problem) implements GatewayRequestResult {}
}
