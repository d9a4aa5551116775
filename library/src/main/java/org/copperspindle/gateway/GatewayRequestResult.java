package org.copperspindle.gateway;

/**
 * How reading a caller's request ended.
 */
public sealed interface GatewayRequestResult {

    /**
     * It can be served.
     *
     * @param request the request
     */
    record Valid(GatewayRequest request) implements GatewayRequestResult {}

    /**
     * It is not a proper request.
     *
     * @param problem what is wrong
     */
    record Invalid(String problem) implements GatewayRequestResult {}
}
